#ifndef PROCESS_PEERS_IO_FEED_CODEC_H_
#define PROCESS_PEERS_IO_FEED_CODEC_H_

#include <nlohmann/json_fwd.hpp>

#include "process/peers/peer_message.h"

namespace mangodoor {

// The messages by which instances give each other the items of the platform's
// store. The functions that decode throw PeerMessageError.

nlohmann::json EncodeFeedRequest(const FeedRequest& request);
FeedRequest DecodeFeedRequest(const nlohmann::json& json);
nlohmann::json EncodeFeedUpdate(const FeedUpdate& update);
FeedUpdate DecodeFeedUpdate(const nlohmann::json& json);

}  // namespace mangodoor

#endif  // PROCESS_PEERS_IO_FEED_CODEC_H_
