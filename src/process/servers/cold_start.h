#ifndef PROCESS_SERVERS_COLD_START_H_
#define PROCESS_SERVERS_COLD_START_H_

#include "process/clock.h"

namespace mangodoor {

/** Cold start state of a server. Without any report, a server is cold. */
struct ColdStart {
  bool cold = true;
  /** False while the server is cold only for lack of any report. */
  bool observed_cold = false;
  /** Latest observation that it is cold, or when it was first listed. */
  TimePoint cold_at;
  /** False while the server is warm only because of EndColdAfterTimeout(). */
  bool observed_warm = false;
  /** Start of the ramp. */
  TimePoint warm_since;
  /** By this instance's own observations, warm at this time or later. */
  TimePoint last_seen_warm;
};

/** Limits of the ramp, from the settings of a service and a server. */
struct RampLimits {
  int cold_concurrency = 1;
  int full_concurrency = 1;
  Duration ramp{};
  Duration cold_max{};
};

/** Who made an observation. A peer's may be older than it seems. */
enum class ObservationSource { kOwn, kPeer };

/**
 * Records that the server was cold at `observed_at`. Returns true if it was not
 * cold before.
 */
bool RecordCold(ColdStart& state, TimePoint observed_at);

/**
 * Records that the server was warm at `observed_at` or later. Returns true if
 * it was cold before; the ramp then starts at `ramp_start`.
 */
bool RecordWarm(ColdStart& state,
                TimePoint observed_at,
                TimePoint ramp_start,
                ObservationSource source);

/**
 * Starts the ramp of a cold server after `cold_max` without a report that it is
 * cold. Returns true if it did.
 */
bool EndColdAfterTimeout(ColdStart& state,
                         const RampLimits& limits,
                         TimePoint now);

/** Restarts the ramp of a warm server that had no traffic until now. */
void RestartRamp(ColdStart& state, TimePoint now);

bool IsRamped(const ColdStart& state, const RampLimits& limits, TimePoint now);

/** Requests that the whole fleet may have in flight at the server now. */
int FleetAllowance(const ColdStart& state,
                   const RampLimits& limits,
                   TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_COLD_START_H_
