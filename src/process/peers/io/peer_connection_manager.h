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

/** Bounds on what one peer can make this instance spend. */
struct PeerConnectionLimits {
  /** Bytes queued for a peer that does not read; holds two documents. */
  size_t max_queued_bytes = 4 * 1024 * 1024;
  /** Messages a second from one peer, and how many may come at once. */
  double messages_per_s = 1000;
  double message_burst = 2000;
  /** Connections that have not proved that they know the fleet secret. */
  size_t max_unauthenticated = 64;
  std::chrono::milliseconds handshake_timeout{2000};
  /** A peer sends heartbeats; one that is silent this long is lost. */
  std::chrono::milliseconds silence_timeout{2000};
  std::chrono::milliseconds first_reconnect_delay{100};
  std::chrono::milliseconds max_reconnect_delay{5000};
};

struct PeerConnectionSettings {
  /** Id, data centre, and the peer endpoint to listen on. */
  Instance self;
  /** Shared by all instances; authenticates them to each other. */
  std::string fleet_secret;
  PeerConnectionLimits limits;
};

/** Called on worker threads, with no lock held. */
struct PeerConnectionCallbacks {
  /** An authenticated peer's message; those of one peer come in order. */
  std::function<void(const InstanceId& from, const PeerMessage& message)>
      received;
  std::function<void(const InstanceId& peer)> connected;
  std::function<void(const InstanceId& peer)> lost;
};

/** Connections to other instances: CBOR messages in WebSocket frames. */
class PeerConnectionManager : public PeerTransport {
 public:
  PeerConnectionManager(boost::asio::io_context& context,
                        PeerConnectionSettings settings,
                        PeerConnectionCallbacks callbacks,
                        const Clock& clock,
                        Counters& counters);
  /** The context must no longer run. */
  ~PeerConnectionManager() override;
  PeerConnectionManager(const PeerConnectionManager&) = delete;
  PeerConnectionManager& operator=(const PeerConnectionManager&) = delete;

  /** Listens on the peer endpoint. Throws if it cannot. */
  void Start();

  /**
   * Keeps a connection to each of `peers`, this instance left out. Connections
   * that other instances open are accepted whether listed here or not.
   */
  void SetPeers(const std::vector<Instance>& peers);

  /** Closes every connection and accepts and opens no more. */
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
