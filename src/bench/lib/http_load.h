#ifndef BENCH_LIB_HTTP_LOAD_H_
#define BENCH_LIB_HTTP_LOAD_H_

#include <vector>

#include "process/clock.h"
#include "version/endpoint.h"

namespace mangodoor {

/** How requests are sent. Each connection has one request in flight. */
struct LoadPlan {
  Endpoint target;
  int connections = 8;
  Duration duration{};
  /**
   * Time between the starts of two requests of a connection; zero sends without
   * a pause.
   */
  Duration interval{};
};

struct LoadResult {
  std::vector<Duration> latencies;
  /** Failed requests; each ends its connection. */
  int errors = 0;
};

/** Sends GET requests over blocking connections, one thread per connection. */
LoadResult RunLoad(const LoadPlan& plan);

/** Returns a quantile (0 to 1) of the latencies. Sorts them. */
Duration Quantile(std::vector<Duration>& latencies, double quantile);

}  // namespace mangodoor

#endif  // BENCH_LIB_HTTP_LOAD_H_
