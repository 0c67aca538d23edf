#ifndef REQUEST_LOAD_METRICS_H_
#define REQUEST_LOAD_METRICS_H_

#include <optional>
#include <string_view>

#include "process/servers/load_estimate.h"

namespace mangodoor {

/** The load that a backend server reports in a response. */
struct LoadMetrics {
  std::optional<int> in_flight;
  std::optional<bool> cold;
  std::optional<ServerLoad> server_load;
};

/**
 * Parses an endpoint-load-metrics field in its TEXT form, such as "TEXT
 * named_metrics.in_flight=2, named_metrics.cold=1". Other metrics and forms are
 * ignored.
 */
LoadMetrics ParseLoadMetrics(std::string_view field);

}  // namespace mangodoor

#endif  // REQUEST_LOAD_METRICS_H_
