#ifndef PROCESS_LOAD_LOAD_RUN_REPORT_H_
#define PROCESS_LOAD_LOAD_RUN_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "process/load/request_result.h"

namespace mangodoor {

/** Results of the requests of a load run. */
struct LoadRunReport {
  uint64_t requests = 0;
  uint64_t served = 0;
  uint64_t refused = 0;
  uint64_t retries = 0;
  /** Number of requests by the result of their last attempt. */
  std::map<std::string, uint64_t> requests_by_result;
  /** Latencies of the served requests. */
  std::vector<Duration> latencies;
};

void AddRequest(LoadRunReport& report, const RequestResult& result);

/**
 * The smallest latency that at least `fraction` (0 to 1) of the requests do not
 * exceed; 0 if there are none. Sorts `latencies`.
 */
Duration Percentile(std::vector<Duration>& latencies, double fraction);

/** Formats a report; the last line is "served N of M requests". */
std::string FormatReport(LoadRunReport report, Duration elapsed);

}  // namespace mangodoor

#endif  // PROCESS_LOAD_LOAD_RUN_REPORT_H_
