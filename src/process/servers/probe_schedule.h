#ifndef PROCESS_SERVERS_PROBE_SCHEDULE_H_
#define PROCESS_SERVERS_PROBE_SCHEDULE_H_

#include "process/clock.h"

namespace mangodoor {

/** Entry addresses whose instances may probe one server. */
constexpr int kProbersPerServer = 2;

/** When this instance probes one server. */
struct ProbeSchedule {
  bool is_prober = false;
  /** Time between two probes from here. */
  Duration interval{};
  /** No probe before this. */
  TimePoint not_before;
  /** The latest probe, or the start of the schedule. */
  TimePoint last_probe;
};

/** Time between two probes of one prober, for a budget of the whole fleet. */
Duration ProbeInterval(double budget_per_s);

/** Takes up or gives up the probing of a server as a version says. */
void SetProber(ProbeSchedule& schedule,
               bool is_prober,
               double budget_per_s,
               bool server_is_new,
               TimePoint now);

/** True if a probe is due; it counts as sent now. */
bool TakeProbe(ProbeSchedule& schedule, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_PROBE_SCHEDULE_H_
