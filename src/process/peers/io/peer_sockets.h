#ifndef PROCESS_PEERS_IO_PEER_SOCKETS_H_
#define PROCESS_PEERS_IO_PEER_SOCKETS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "connection/io/peer_handshake.h"
#include "version/endpoint.h"

namespace mangodoor {

/** Names one WebSocket connection for as long as the process runs. */
using LinkId = uint64_t;

/**
 * What happens on connections. The calls for one connection come in order and
 * one at a time, with no lock held.
 */
struct PeerSocketEvents {
  std::function<void(LinkId, PeerRole)> opened;
  std::function<void(LinkId, std::string_view frame)> received;
  /** The last call for a connection, also for one that never opened. */
  std::function<void(LinkId)> closed;
  /** A frame was dropped because the peer does not read. */
  std::function<void(LinkId)> dropped;
};

struct PeerSocketLimits {
  /** Bytes that wait in each of the two queues of a connection. */
  size_t max_queued_bytes = 0;
  /** Accepted connections whose handshake is not over. */
  size_t max_unauthenticated = 0;
  std::chrono::milliseconds open_timeout{2000};
};

/**
 * WebSocket connections that carry binary frames. Must outlive the running of
 * the context. Keeps websocketpp out of every other file.
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

  /** A name for a connection that is about to be opened. */
  LinkId ReserveLink();

  /** Opens a connection; `closed` is called if that fails. */
  void Dial(LinkId link, const Endpoint& endpoint);

  /** Queues a frame; false if it is dropped. */
  bool Send(LinkId link, std::string frame);

  /** Sends what is queued, then closes the connection. */
  void Close(LinkId link);

  /** The peer proved its identity: allows frames of full length. */
  void MarkAuthenticated(LinkId link);

  /** Accepts and opens nothing more, and closes all connections. */
  void Stop();

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangodoor

#endif  // PROCESS_PEERS_IO_PEER_SOCKETS_H_
