#ifndef PROCESS_PEERS_IO_PEER_SOCKETS_H_
#define PROCESS_PEERS_IO_PEER_SOCKETS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "connection/io/peer_handshake.h"
#include "version/endpoint.h"

namespace mangodoor {

/** Identifies a WebSocket connection; not reused while the process runs. */
using LinkId = uint64_t;

/**
 * Callbacks for events on connections. Those for one connection are called in
 * order and one at a time, with no lock held.
 */
struct PeerSocketEvents {
  std::function<void(LinkId, PeerRole)> opened;
  std::function<void(LinkId, std::string_view frame)> received;
  /** The last event of a connection; also called if it could not be opened. */
  std::function<void(LinkId)> closed;
  /** A queued frame was dropped, mostly because the peer does not read. */
  std::function<void(LinkId)> dropped;
};

/** A frame that can be in the queues of several connections. */
using SharedFrame = std::shared_ptr<const std::string>;

struct PeerSocketLimits {
  /**
   * Limit on each of a connection's send queues: the two of PeerSockets and the
   * one of websocketpp.
   */
  size_t max_queued_bytes = 0;
  /** Limit on accepted connections whose peer is not authenticated. */
  size_t max_unauthenticated = 0;
  /** Time limit of the WebSocket handshake. */
  std::chrono::milliseconds open_timeout{2000};
};

/**
 * WebSocket connections that carry binary frames. Must not be destroyed while
 * the context runs. Only peer_sockets.cc includes websocketpp.
 */
class PeerSockets {
 public:
  PeerSockets(boost::asio::io_context& context,
              PeerSocketLimits limits,
              PeerSocketEvents events);
  ~PeerSockets();
  PeerSockets(const PeerSockets&) = delete;
  PeerSockets& operator=(const PeerSockets&) = delete;

  /** Throws boost::system::system_error if the endpoint cannot be bound. */
  void Listen(const Endpoint& endpoint);

  /** Returns an id for a connection that is to be opened by Dial. */
  LinkId ReserveLink();

  /** Opens a connection; `closed` is called if it fails. */
  void Dial(LinkId link, const Endpoint& endpoint);

  /** Queues a frame; false if the connection is closing or the queue full. */
  bool Send(LinkId link, std::string frame);

  /**
   * Queues frames that are sent one after the other, and let all those of Send
   * overtake them; false if the connection is closing or the queue full.
   */
  bool SendInTurn(LinkId link, const std::vector<SharedFrame>& frames);

  /** Sends the frames queued by Send, then closes the connection. */
  void Close(LinkId link);

  /** Allows frames of full length, as the peer is now authenticated. */
  void MarkAuthenticated(LinkId link);

  /** Stops listening and closes all connections. */
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangodoor

#endif  // PROCESS_PEERS_IO_PEER_SOCKETS_H_
