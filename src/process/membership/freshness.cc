#include "process/membership/freshness.h"

#include <algorithm>

namespace mangodoor {
namespace {

bool IsRecent(const std::optional<TimePoint>& at,
              Duration fresh_for,
              TimePoint now) {
  return at && now - *at <= fresh_for;
}

}  // namespace

bool CheckForPause(Freshness& freshness, TimePoint now) {
  const bool paused = freshness.last_clock_check &&
                      now - *freshness.last_clock_check > kPauseThreshold;
  if (paused)
    freshness = Freshness{};
  KeepLatest(freshness.last_clock_check, now);
  return paused;
}

void KeepLatest(std::optional<TimePoint>& known,
                const std::optional<TimePoint>& seen) {
  if (seen)
    known = std::max(known.value_or(*seen), *seen);
}

std::optional<TimePoint> ConfirmedRead(const Freshness& freshness) {
  std::optional<TimePoint> latest = freshness.own_read;
  KeepLatest(latest, freshness.relayed_read);
  return latest;
}

Duration ReadAge(const Freshness& freshness, TimePoint now) {
  const std::optional<TimePoint> read = ConfirmedRead(freshness);
  return read ? now - *read : Duration::max();
}

bool IsFresh(const Freshness& freshness, Duration fresh_for, TimePoint now) {
  // After a pause, a request can arrive before the next tick detects the pause.
  if (!freshness.last_clock_check ||
      now - *freshness.last_clock_check > kPauseThreshold)
    return false;
  return IsRecent(ConfirmedRead(freshness), fresh_for, now) ||
         IsRecent(freshness.half_fleet_heard_at, fresh_for, now);
}

}  // namespace mangodoor
