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
 * Estimated requests in flight from other instances: the weighted mean of the
 * report, by ReportWeight(), and of `usual`, the average of the service.
 */
double EstimateOthers(const LoadReport& report, double usual, TimePoint now);

/** Expected time of one more request, in seconds; lower is better. */
double Score(int outstanding, double others, int slots, Duration latency);

/** True if two scores are close enough to prefer the local data centre. */
bool IsTie(double a, double b);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SERVER_SCORE_H_
