#ifndef PROCESS_SERVERS_LOAD_ESTIMATE_H_
#define PROCESS_SERVERS_LOAD_ESTIMATE_H_

#include "process/clock.h"

namespace mangodoor {

/** What a server said of its load, with an answer or to a probe. */
struct ServerLoad {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  /** How long work takes there now, relative to usual. */
  double slowness = 1;
};

/** The latest statement of a server, and what it meant when it came. */
struct LoadEstimate {
  /** Requests there that this instance had not sent. */
  double others = 0;
  double slowness = 1;
  /** The epoch of the clock until the first statement. */
  TimePoint at{};
};

/** Takes over a statement that came while `own` requests were there. */
void RecordServerLoad(LoadEstimate& estimate,
                      const ServerLoad& server_load,
                      int own,
                      TimePoint now);

/** Requests of other instances there now; fades with the statement's age. */
double OthersNow(const LoadEstimate& estimate, TimePoint now);

/** How long work takes there now, relative to usual; fades towards 1. */
double SlownessNow(const LoadEstimate& estimate, TimePoint now);

/**
 * Expected time of one more request, relative to one that is alone at a
 * server of usual speed.
 */
double ExpectedTime(const LoadEstimate& estimate,
                    int own,
                    int slots,
                    TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_LOAD_ESTIMATE_H_
