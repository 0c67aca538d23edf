#ifndef PROCESS_PEERS_IO_PEER_CODEC_H_
#define PROCESS_PEERS_IO_PEER_CODEC_H_

#include <stdexcept>
#include <string>
#include <string_view>

#include "process/peers/peer_message.h"

namespace mangodoor {

/** Limit on a message between instances. A document has at most 1 MB. */
constexpr size_t kMaxPeerMessageBytes = 2 * 1024 * 1024;

/**
 * An invalid message. The connection on which it was received is closed; a
 * message that is too long to send is dropped.
 */
class PeerMessageError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

/**
 * Encodes a message as one CBOR map with its type and the protocol version.
 * Throws PeerMessageError if it is too long.
 */
std::string EncodePeerMessage(const PeerMessage& message);

/** Decodes and checks a message. Throws PeerMessageError if it is invalid. */
PeerMessage DecodePeerMessage(std::string_view frame);

}  // namespace mangodoor

#endif  // PROCESS_PEERS_IO_PEER_CODEC_H_
