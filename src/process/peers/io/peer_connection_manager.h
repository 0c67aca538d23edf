#ifndef PROCESS_PEERS_IO_PEER_CONNECTION_MANAGER_H_
#define PROCESS_PEERS_IO_PEER_CONNECTION_MANAGER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "process/clock.h"
#include "process/counters.h"
#include "process/membership/membership.h"
#include "process/peers/peer_transport.h"

namespace mangodoor {

/** Limits on the memory, processor time and connections that peers can use. */
struct PeerConnectionLimits {
  /**
   * Limit on each of the two send queues of a connection (see
   * PeerSocketLimits); enough for two messages of the maximum length.
   */
  size_t max_queued_bytes = 4 * 1024 * 1024;
  /** Rate and burst of messages accepted on one connection. */
  double messages_per_s = 1000;
  double message_burst = 2000;
  /** Accepted connections that are not authenticated yet. */
  size_t max_unauthenticated = 64;
  std::chrono::milliseconds handshake_timeout{2000};
  /** A peer is lost if it sends nothing, not even heartbeats, for this long. */
  std::chrono::milliseconds silence_timeout{2000};
  std::chrono::milliseconds first_reconnect_delay{100};
  std::chrono::milliseconds max_reconnect_delay{5000};
};

struct PeerConnectionSettings {
  /** Id, data centre, and the peer endpoint to listen on. */
  Instance self;
  /** Shared by all instances of the fleet, which authenticate with it. */
  std::string fleet_secret;
  PeerConnectionLimits limits;
};

/** Callbacks, called on worker threads with no lock held. */
struct PeerConnectionCallbacks {
  /** A message from an authenticated peer, in order for each connection. */
  std::function<void(const InstanceId& from, const PeerMessage& message)>
      received;
  /** A part of a long message has arrived, which `received` has not got yet. */
  std::function<void(const InstanceId& from)> progressed =
      [](const InstanceId&) {};
  std::function<void(const InstanceId& peer)> connected;
  std::function<void(const InstanceId& peer)> lost;
};

/** Connections to other instances, with CBOR messages in WebSocket frames. */
class PeerConnectionManager : public PeerTransport {
 public:
  PeerConnectionManager(boost::asio::io_context& context,
                        PeerConnectionSettings settings,
                        PeerConnectionCallbacks callbacks,
                        const Clock& clock,
                        Counters& counters);
  /** Must not be called while the context runs. */
  ~PeerConnectionManager() override;
  PeerConnectionManager(const PeerConnectionManager&) = delete;
  PeerConnectionManager& operator=(const PeerConnectionManager&) = delete;

  /**
   * Starts listening on the peer endpoint. Throws boost::system::system_error
   * if the endpoint cannot be bound.
   */
  void Start();

  /**
   * Keeps a connection to each of `peers` except this instance itself, and
   * closes those that this instance opened to peers not in the list.
   * Connections from other instances are accepted even if these are not in it.
   */
  void SetPeers(const std::vector<Instance>& peers);

  /** Closes all connections and accepts and opens no more. */
  void Stop();

  void Send(const InstanceId& to, const PeerMessage& message) override;
  /** Sends one message to several peers, encoded once. */
  void SendAll(const std::vector<InstanceId>& to, const PeerMessage& message);
  std::vector<InstanceId> ConnectedPeers() const override;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangodoor

#endif  // PROCESS_PEERS_IO_PEER_CONNECTION_MANAGER_H_
