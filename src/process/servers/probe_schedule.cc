#include "process/servers/probe_schedule.h"

#include "process/servers/share_history.h"

namespace mangodoor {

Duration ProbeInterval(double budget_per_s) {
  // A budget below one probe in a thousand seconds means no probes. This also
  // keeps the quotient within the range of Duration.
  constexpr double kSmallestBudget = 0.001;
  if (budget_per_s < kSmallestBudget)
    return Duration::max();
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kProbersPerServer / budget_per_s));
}

void SetProber(ProbeSchedule& schedule,
               bool is_prober,
               double budget_per_s,
               bool server_is_new,
               TimePoint now) {
  schedule.interval = ProbeInterval(budget_per_s);
  if (is_prober && !schedule.is_prober) {
    schedule.last_probe = now;
    // The previous prober may get the version later and still probe until then.
    schedule.not_before = server_is_new ? now : now + kVersionPropagationTime;
  }
  schedule.is_prober = is_prober;
}

bool TakeProbe(ProbeSchedule& schedule, TimePoint now) {
  if (!schedule.is_prober || now < schedule.not_before ||
      now - schedule.last_probe < schedule.interval)
    return false;
  // The interval starts at the actual time, so that a late call is not followed
  // by probes that catch up.
  schedule.last_probe = now;
  return true;
}

}  // namespace mangodoor
