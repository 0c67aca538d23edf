#ifndef PROCESS_SERVERS_SERVER_SCORE_H_
#define PROCESS_SERVERS_SERVER_SCORE_H_

#include "process/clock.h"

namespace mangodoor {

/** What a server or a peer last said of a server's load. */
struct LoadReport {
  /** Requests in flight from other instances; negative if never reported. */
  int others = -1;
  TimePoint at;
};

/** Weight of a report: highest when new, halved every 250 ms. */
double ReportWeight(const LoadReport& report, TimePoint now);

/**
 * Requests in flight from other instances: the report as far as it is fresh,
 * and `usual`, the service's average, for the rest.
 */
double EstimateOthers(const LoadReport& report, double usual, TimePoint now);

/** Expected time of one more request in seconds; the lowest is the best. */
double Score(int outstanding, double others, int slots, Duration latency);

/** True if the scores are so close that the data centre decides. */
bool IsTie(double a, double b);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SERVER_SCORE_H_
