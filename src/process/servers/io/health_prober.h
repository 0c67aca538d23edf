#ifndef PROCESS_SERVERS_IO_HEALTH_PROBER_H_
#define PROCESS_SERVERS_IO_HEALTH_PROBER_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "process/clock.h"
#include "process/counters.h"
#include "process/servers/server_table.h"

namespace mangodoor {

/** Parses the body of a health response; the state is unset if invalid. */
ProbeResult ParseHealth(const std::string& body);

/** Probes the health of backend servers, each time on a new connection. */
class HealthProber {
 public:
  /** Called once for each probe, on a worker thread. */
  using Done = std::function<void(const BackendServerId&, const ProbeResult&)>;

  HealthProber(boost::asio::io_context& io,
               Counters& counters,
               Done done,
               Duration timeout = std::chrono::seconds(1));

  /** Sends GET /health to the server and waits for `timeout` at most. */
  void Probe(const ChosenServer& server);

 private:
  boost::asio::io_context& io_;
  Counters& counters_;
  Done done_;
  Duration timeout_;
};

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_IO_HEALTH_PROBER_H_
