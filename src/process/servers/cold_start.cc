#include "process/servers/cold_start.h"

#include <algorithm>

namespace mangodoor {
namespace {

// The age of a report does not include its time on the wire, so a peer's "warm"
// can be older than it says. It must therefore be this much newer than the
// latest "cold". Probers repeat "warm" while the ramp runs.
constexpr Duration kPeerReportMargin = std::chrono::milliseconds(500);

}  // namespace

bool RecordCold(ColdStart& state, TimePoint observed_at) {
  if (!state.cold &&
      observed_at < std::max(state.last_seen_warm, state.warm_since))
    return false;
  const bool changed = !state.cold;
  state.cold_at =
      state.observed_cold ? std::max(state.cold_at, observed_at) : observed_at;
  state.cold = true;
  state.observed_cold = true;
  return changed;
}

bool RecordWarm(ColdStart& state,
                TimePoint observed_at,
                TimePoint ramp_start,
                ObservationSource source) {
  if (state.cold && state.observed_cold) {
    const Duration margin = source == ObservationSource::kPeer
                                ? kPeerReportMargin
                                : Duration::zero();
    if (observed_at <= state.cold_at + margin)
      return false;
  }
  if (source == ObservationSource::kOwn)
    state.last_seen_warm = std::max(state.last_seen_warm, observed_at);
  state.observed_warm = true;
  if (!state.cold)
    return false;
  state.cold = false;
  state.warm_since = ramp_start;
  return true;
}

bool EndColdAfterTimeout(ColdStart& state,
                         const RampLimits& limits,
                         TimePoint now) {
  if (!state.cold || now - state.cold_at < limits.cold_max)
    return false;
  state.cold = false;
  state.observed_warm = false;
  state.warm_since = now;
  return true;
}

void RestartRamp(ColdStart& state, TimePoint now) {
  if (!state.cold)
    state.warm_since = now;
}

bool IsRamped(const ColdStart& state, const RampLimits& limits, TimePoint now) {
  return !state.cold && now - state.warm_since >= limits.ramp;
}

int FleetAllowance(const ColdStart& state,
                   const RampLimits& limits,
                   TimePoint now) {
  const int full = std::max(limits.full_concurrency, limits.cold_concurrency);
  if (state.cold)
    return limits.cold_concurrency;
  if (IsRamped(state, limits, now))
    return full;
  const Duration elapsed =
      std::max(Duration::zero(), Duration(now - state.warm_since));
  const double done = Seconds(elapsed) / Seconds(limits.ramp);
  return limits.cold_concurrency +
         static_cast<int>(done * (full - limits.cold_concurrency));
}

}  // namespace mangodoor
