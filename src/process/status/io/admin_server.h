#ifndef PROCESS_STATUS_IO_ADMIN_SERVER_H_
#define PROCESS_STATUS_IO_ADMIN_SERVER_H_

#include <optional>

#include "process/io/page_server.h"
#include "process/status/fleet_status.h"

namespace mangodoor {

class Clock;
struct Tables;

/**
 * Answers operators over HTTP/1.1: /metrics, /healthz, /readyz, /status and
 * /audit. Runs on the threads of `context`; the number of connections, the
 * size of a request and the time for it are bounded. `tables`, `fleet`,
 * `clock` and `context` outlive the threads of `context`.
 */
class AdminServer {
 public:
  /** Listens at once. Throws boost::system::system_error if it cannot. */
  AdminServer(const Tables& tables,
              const Clock& clock,
              boost::asio::io_context& context,
              const Endpoint& endpoint,
              std::optional<FleetTables> fleet = std::nullopt);

  /**
   * Stops listening and closes the connections, so that the threads of the
   * io_context can end. May be called from any thread, more than once.
   */
  void Stop() { server_.Stop(); }

 private:
  PageServer server_;
};

}  // namespace mangodoor

#endif  // PROCESS_STATUS_IO_ADMIN_SERVER_H_
