#ifndef CONNECTION_IO_CALLER_LISTENER_H_
#define CONNECTION_IO_CALLER_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>

#include "connection/io/session_context.h"
#include "version/endpoint.h"

namespace mangodoor {

/**
 * Accepts connections of callers. Responses carry "Connection: close" while the
 * membership table says that this instance is leaving, and after Drain().
 */
class CallerListener {
 public:
  /**
   * Binds and listens at once. Throws boost::system::system_error on failure.
   */
  CallerListener(boost::asio::io_context& io,
                 const Endpoint& endpoint,
                 const SessionContext& context);
  ~CallerListener();
  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  /** Starts to accept connections. */
  void Start();

  /**
   * Stops listening, closes idle connections and lets running requests finish.
   * `drained` is called once, on a worker thread, when no connection is left.
   */
  void Drain(std::function<void()> drained);

  int running_requests() const;
  int open_connections() const;

  /**
   * The address that the listener is bound to. If port 0 was requested, the
   * address contains the port that the system assigned.
   */
  Endpoint endpoint() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace mangodoor

#endif  // CONNECTION_IO_CALLER_LISTENER_H_
