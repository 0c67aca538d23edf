#ifndef PROCESS_LOAD_LOAD_RUN_REPORT_H_
#define PROCESS_LOAD_LOAD_RUN_REPORT_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "process/load/request_result.h"

namespace mangodoor {

/** What became of the calls of a load run. */
struct LoadRunReport {
  uint64_t calls = 0;
  uint64_t served = 0;
  uint64_t refused = 0;
  uint64_t retries = 0;
  /** Calls by their last answer, in words. */
  std::map<std::string, uint64_t> answers;
  /** Of the calls served. */
  std::vector<Duration> latencies;
};

void AddCall(LoadRunReport& report, const RequestResult& result);

/**
 * The smallest latency that at least `share` (0 to 1) of the calls stay
 * within; 0 without calls. Sorts `latencies`.
 */
Duration Percentile(std::vector<Duration>& latencies, double fraction);

/** Several lines; the last one is "served N of N requests". */
std::string FormatReport(LoadRunReport report, Duration elapsed);

}  // namespace mangodoor

#endif  // PROCESS_LOAD_LOAD_RUN_REPORT_H_
