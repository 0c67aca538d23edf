#ifndef CONNECTION_IO_BACKEND_CONNECTION_POOL_H_
#define CONNECTION_IO_BACKEND_CONNECTION_POOL_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "connection/io/backend_transport.h"
#include "connection/io/strand.h"
#include "connection/time_limits.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/ordered_mutex.h"
#include "process/servers/server_table.h"

namespace mangodoor {

/** An open connection to a backend server. One attempt uses it at a time. */
struct BackendConnection {
  Endpoint endpoint;
  std::shared_ptr<BackendSocket> socket;
  /** Bytes received and not yet parsed. */
  boost::beast::flat_buffer buffer;
  /** An earlier attempt had a whole response over it. */
  bool reused = false;
  TimePoint idle_since;
};

using BackendConnectionPtr = std::shared_ptr<BackendConnection>;

/**
 * Connections to backend servers: reused, limited for each server, opened a
 * few at a time. All functions may be called on any thread.
 */
class BackendConnectionPool {
 public:
  /** Called once, on any thread, without a lock. */
  using Ready =
      std::function<void(boost::system::error_code, BackendConnectionPtr)>;

  BackendConnectionPool(BackendTransport& transport,
                        const Clock& clock,
                        Counters& counters,
                        BackendConnectionLimits limits = {});
  ~BackendConnectionPool();

  /** An idle connection that the server has not closed, or null. */
  BackendConnectionPtr TakeIdle(const ChosenServer& server);

  /**
   * Waits for a connection to be returned or opened. Returns a ticket for
   * CancelOpen.
   */
  uint64_t Open(const ChosenServer& server, Ready ready);

  /** Withdraws a wait. Its `ready` may still be running on another thread. */
  void CancelOpen(const ChosenServer& server, uint64_t ticket);

  /** Gives back a connection whose last response was whole. */
  void Return(BackendConnectionPtr connection);

  /** Gives back a connection that must not be used again, and closes it. */
  void Discard(BackendConnectionPtr connection);

  /** Closes idle connections that are old or closed by the server. */
  void CloseIdle(TimePoint now);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace mangodoor

#endif  // CONNECTION_IO_BACKEND_CONNECTION_POOL_H_
