#ifndef PROCESS_SERVERS_IO_LOAD_PROBER_H_
#define PROCESS_SERVERS_IO_LOAD_PROBER_H_

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

#include "connection/io/backend_connection_pool.h"
#include "process/counters.h"
#include "process/servers/server_request.h"
#include "request/http_profile.h"

namespace mangodoor {

/**
 * Probes backend servers for their load, over the same connections as requests.
 * All functions can be called on any thread.
 */
class LoadProber {
 public:
  /** Called once for each probe, on a worker thread. */
  using Done = std::function<void(const BackendServerId&, const ProbeResult&)>;

  /** `pool`, `counters` and `http_profile` must outlive the threads of `io`. */
  LoadProber(boost::asio::io_context& io,
             BackendConnectionPool& pool,
             Counters& counters,
             const HttpProfile& http_profile,
             Done done);

  void Probe(const ChosenServer& server);

 private:
  boost::asio::io_context& io_;
  BackendConnectionPool& pool_;
  Counters& counters_;
  const HttpProfile& http_profile_;
  Done done_;
};

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_IO_LOAD_PROBER_H_
