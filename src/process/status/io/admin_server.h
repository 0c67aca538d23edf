#ifndef PROCESS_STATUS_IO_ADMIN_SERVER_H_
#define PROCESS_STATUS_IO_ADMIN_SERVER_H_

#include <optional>

#include "process/io/page_server.h"
#include "process/status/fleet_status.h"

namespace mangodoor {

class Clock;
struct Tables;

/**
 * HTTP/1.1 server for operators, with the pages /metrics, /healthz, /readyz,
 * /status and /audit. Runs on the threads of `context`, which must end before
 * `tables`, the tables of `fleet`, `clock` and `context` are destroyed. The
 * number of connections and the size and duration of a request are limited.
 */
class AdminServer {
 public:
  /**
   * Starts listening. Throws boost::system::system_error if the endpoint cannot
   * be bound.
   */
  AdminServer(const Tables& tables,
              const Clock& clock,
              boost::asio::io_context& context,
              const Endpoint& endpoint,
              std::optional<FleetTables> fleet = std::nullopt);

  /**
   * Stops listening and closes the connections, so that the threads of the
   * io_context can end. Can be called from any thread and more than once.
   */
  void Stop() { server_.Stop(); }

 private:
  PageServer server_;
};

}  // namespace mangodoor

#endif  // PROCESS_STATUS_IO_ADMIN_SERVER_H_
