#ifndef PROCESS_SERVERS_COLD_START_H_
#define PROCESS_SERVERS_COLD_START_H_

#include "process/clock.h"

namespace mangodoor {

/** What is known of a server's cold start. Unknown servers are cold. */
struct ColdStart {
  bool cold = true;
  /** False while the server is cold only because nothing is known of it. */
  bool observed_cold = false;
  /** Latest sign that it is cold; the first sight of it if there is none. */
  TimePoint cold_at;
  /** False while the server is warm only because it was silent for long. */
  bool observed_warm = false;
  /** Start of the ramp. */
  TimePoint warm_since;
  /** The server was certainly warm at this time or later. */
  TimePoint last_seen_warm;
};

/** The limits of a service that bound the ramp. */
struct RampLimits {
  int cold_concurrency = 1;
  int full_concurrency = 1;
  Duration ramp{};
  Duration cold_max{};
};

/** Where a sign comes from; it decides how late it may be. */
enum class ObservationSource { kOwn, kPeer };

/** Returns true if the server was not cold before. */
bool RecordCold(ColdStart& state, TimePoint observed_at);

/**
 * Takes a sign that the server was warm at `found` or later. Returns true if
 * it was cold before; the ramp then starts at `ramp_start`.
 */
bool RecordWarm(ColdStart& state,
                TimePoint observed_at,
                TimePoint ramp_start,
                ObservationSource source);

/** Starts the ramp of a server that has long given no sign. */
bool EndColdAfterTimeout(ColdStart& state,
                         const RampLimits& limits,
                         TimePoint now);

/** Starts the ramp of a warm server that had no traffic until now. */
void RestartRamp(ColdStart& state, TimePoint now);

bool IsRamped(const ColdStart& state, const RampLimits& limits, TimePoint now);

/** Requests that the whole fleet may have in flight at the server now. */
int FleetAllowance(const ColdStart& state,
                   const RampLimits& limits,
                   TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_COLD_START_H_
