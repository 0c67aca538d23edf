#ifndef REQUEST_LOAD_METRICS_H_
#define REQUEST_LOAD_METRICS_H_

#include <optional>
#include <string_view>

#include "process/servers/load_estimate.h"

namespace mangodoor {

/** What a backend server says of its load on a response. */
struct LoadMetrics {
  std::optional<int> in_flight;
  std::optional<bool> cold;
  std::optional<ServerLoad> server_load;
};

/**
 * Reads an endpoint-load-metrics field in its TEXT form, such as
 * "TEXT named_metrics.in_flight=2, named_metrics.cold=1". Anything else in it
 * is ignored.
 */
LoadMetrics ParseLoadMetrics(std::string_view field);

}  // namespace mangodoor

#endif  // REQUEST_LOAD_METRICS_H_
