#ifndef PROCESS_SERVERS_SERVER_SCORE_H_
#define PROCESS_SERVERS_SERVER_SCORE_H_

#include "process/clock.h"

namespace mangodoor {

/** Latest load of a server, reported by the server itself or by a peer. */
struct LoadReport {
  /** Requests in flight from other instances; negative if never reported. */
  int others = -1;
  TimePoint at;
};

/** Weight of a report in the estimate; it is halved every 250 ms. */
double ReportWeight(const LoadReport& report, TimePoint now);

/**
 * Estimated requests in flight from other instances: an average, weighted by
 * the age of the report, of the report and `usual`, the service's average.
 */
double EstimateOthers(const LoadReport& report, double usual, TimePoint now);

/** Expected time of one more request, in seconds; lower is better. */
double Score(int outstanding, double others, int slots, Duration latency);

/** True if two scores are close enough to prefer the own data centre. */
bool IsTie(double a, double b);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SERVER_SCORE_H_
