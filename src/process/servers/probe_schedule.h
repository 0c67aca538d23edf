#ifndef PROCESS_SERVERS_PROBE_SCHEDULE_H_
#define PROCESS_SERVERS_PROBE_SCHEDULE_H_

#include "process/clock.h"

namespace mangodoor {

/** Number of instances that probe one server. */
constexpr int kProbersPerServer = 2;

/** Schedule of this instance's probes of one server. */
struct ProbeSchedule {
  bool is_prober = false;
  /** Time between two probes by this instance. */
  Duration interval{};
  /** Time before which no probe is sent. */
  TimePoint not_before;
  /** Time of the latest probe, or of the start of the schedule. */
  TimePoint last_probe;
};

/** Probe interval of one prober, for the probe budget of the whole fleet. */
Duration ProbeInterval(double budget_per_s);

/** Sets, on a new version, whether this instance probes the server. */
void SetProber(ProbeSchedule& schedule,
               bool is_prober,
               double budget_per_s,
               bool server_is_new,
               TimePoint now);

/** True if a probe is due; the probe is then recorded as sent. */
bool TakeProbe(ProbeSchedule& schedule, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_PROBE_SCHEDULE_H_
