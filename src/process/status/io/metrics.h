#ifndef PROCESS_STATUS_IO_METRICS_H_
#define PROCESS_STATUS_IO_METRICS_H_

#include <string>

namespace mangodoor {

struct Counters;
struct InstanceStatus;

/**
 * The counters and the status of an instance in the Prometheus text format.
 * Backend servers are counted by service and state, so that the number of
 * time series does not grow with the number of servers. /status lists each
 * server.
 */
std::string MetricsText(const Counters& counters, const InstanceStatus& status);

}  // namespace mangodoor

#endif  // PROCESS_STATUS_IO_METRICS_H_
