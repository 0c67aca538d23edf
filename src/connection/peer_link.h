#ifndef CONNECTION_PEER_LINK_H_
#define CONNECTION_PEER_LINK_H_

#include "process/clock.h"
#include "version/ids.h"

namespace mangodoor {

/** Which of two instances opened their connection, and which accepted it. */
struct PeerLinkOrigin {
  InstanceId opened_by;
  InstanceId accepted_by;
};

/**
 * True if the connection `fresh` replaces `existing`, which is between the same
 * two instances. Both ends reach the same decision: of two connections opened
 * by different sides, the one opened by the instance with the smaller id stays;
 * of two opened by the same side, the newer one stays.
 */
bool ReplacesLink(const PeerLinkOrigin& fresh, const PeerLinkOrigin& existing);

/** Bounds of the delay before reconnecting to a peer. */
struct ReconnectDelays {
  std::chrono::milliseconds first{};
  std::chrono::milliseconds max{};
};

/**
 * Delay before the next attempt to connect after `failures` failed attempts. It
 * doubles with each failure up to `delays.max`; `random`, in [0, 1), selects a
 * value between half of that delay and all of it.
 */
Duration ReconnectDelay(const ReconnectDelays& delays,
                        int failures,
                        double random);

}  // namespace mangodoor

#endif  // CONNECTION_PEER_LINK_H_
