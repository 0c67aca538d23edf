#ifndef CONNECTION_IO_BACKEND_CONNECTION_POOL_H_
#define CONNECTION_IO_BACKEND_CONNECTION_POOL_H_

#include <functional>
#include <memory>

#include "connection/io/backend_connection.h"
#include "connection/io/backend_transport.h"
#include "connection/time_limits.h"
#include "process/clock.h"
#include "process/counters.h"
#include "process/ordered_mutex.h"
#include "process/servers/server_table.h"

namespace mangodoor {

/**
 * Pool of connections to backend servers. It reuses idle connections, and
 * limits for each server how many exist and how many are opened in parallel.
 * All functions can be called on any thread.
 */
class BackendConnectionPool {
 public:
  /** Called once unless cancelled, on any thread, without a lock held. */
  using ReadyCallback =
      std::function<void(boost::system::error_code, BackendConnectionPtr)>;

  BackendConnectionPool(BackendTransport& transport,
                        const Clock& clock,
                        Counters& counters,
                        BackendConnectionLimits limits = {});
  ~BackendConnectionPool();

  /** Takes an idle connection that can be reused; null if there is none. */
  BackendConnectionPtr TakeIdle(const ChosenServer& server);

  /**
   * Calls `ready` when a connection is returned to the pool or opened, or when
   * opening one fails. Returns a ticket for CancelOpen.
   */
  uint64_t Open(const ChosenServer& server, ReadyCallback ready);

  /** Cancels a wait. Its `ready` can still be running on another thread. */
  void CancelOpen(const ChosenServer& server, uint64_t ticket);

  /**
   * Returns a connection that can be reused: its last response was complete, or
   * nothing was sent over it.
   */
  void Return(BackendConnectionPtr connection);

  /**
   * Closes a connection that must not be reused, and makes room for another.
   */
  void Discard(BackendConnectionPtr connection);

  /** Closes connections that were idle for too long or closed by the server. */
  void CloseIdle(TimePoint now);

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace mangodoor

#endif  // CONNECTION_IO_BACKEND_CONNECTION_POOL_H_
