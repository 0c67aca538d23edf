#ifndef PROCESS_PEERS_PEER_TRANSPORT_H_
#define PROCESS_PEERS_PEER_TRANSPORT_H_

#include "process/peers/peer_message.h"

namespace mangodoor {

/**
 * Sends messages to other instances. Messages can be lost. Those sent over one
 * connection arrive in order, except that others overtake long messages and
 * feed updates, which arrive in order among themselves.
 */
class PeerTransport {
 public:
  virtual ~PeerTransport() = default;

  /** Queues `message`; drops it if `to` is not connected. */
  virtual void Send(const InstanceId& to, const PeerMessage& message) = 0;

  /** The peers with an authenticated connection. */
  virtual std::vector<InstanceId> ConnectedPeers() const = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_PEERS_PEER_TRANSPORT_H_
