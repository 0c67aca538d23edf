#ifndef PROCESS_SERVERS_LOAD_ESTIMATE_H_
#define PROCESS_SERVERS_LOAD_ESTIMATE_H_

#include "process/clock.h"

namespace mangodoor {

/** Load that a server reports with a response or in reply to a probe. */
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /** Duration of work on this server, relative to usual: 2 is twice as long. */
  double slowness = 1;
};

/** Load of a server, estimated from its latest load report. */
struct LoadEstimate {
  /** Requests of other instances on the server at the time of the report. */
  double others = 0;
  double slowness = 1;
  /** Arrival of the report; the clock's epoch until one has arrived. */
  TimePoint at{};
};

/**
 * Records a load report. `own` is the number of requests that this instance has
 * in flight at the server.
 */
void RecordServerLoad(LoadEstimate& estimate,
                      const ServerLoad& server_load,
                      int own,
                      TimePoint now);

/** Estimated requests of other instances; decays with the report's age. */
double OthersNow(const LoadEstimate& estimate, TimePoint now);

/** Estimated slowness; decays towards 1 with the report's age. */
double SlownessNow(const LoadEstimate& estimate, TimePoint now);

/**
 * Expected duration of one more request, relative to a request that is alone on
 * a server of usual speed.
 */
double ExpectedTime(const LoadEstimate& estimate,
                    int own,
                    int slots,
                    TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_LOAD_ESTIMATE_H_
