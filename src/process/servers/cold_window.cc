#include "process/servers/cold_window.h"

#include <algorithm>

namespace mangodoor {
namespace {

constexpr Duration kRateWindow = std::chrono::seconds(1);

TimePoint EndOf(const ColdWindow& window) {
  return std::max(window.until_by_probe, window.until_by_record);
}

void BeginUnlessCold(ColdWindow& window, TimePoint now) {
  if (!IsCold(window, now))
    window.began = now;
}

}  // namespace

void SetColdByProbe(ColdWindow& window, Duration remaining, TimePoint now) {
  BeginUnlessCold(window, now);
  window.until_by_probe = now + remaining;
  window.until_by_record = TimePoint();
}

// A record does not say when it was written, which can be seconds ago. If it
// names a cold phase, the server is treated as cold even if a probe found it
// warm before: a flooded server crashes, while one that is limited by mistake
// gets less work until the next probe.
void SetColdByRecord(ColdWindow& window, Duration remaining, TimePoint now) {
  BeginUnlessCold(window, now);
  window.until_by_record = now + remaining;
}

bool IsCold(const ColdWindow& window, TimePoint now) {
  return now < EndOf(window);
}

// The instances of a large fleet have less than one request a second each. If
// all of them sent the first one at once, they would exceed the limit of the
// server together, so that their phases differ.
bool MaySendCold(const ColdWindow& window,
                 const ColdLimit& limit,
                 TimePoint now) {
  if (limit.rate_per_s <= 0 || !IsCold(window, now))
    return true;
  if (limit.rate_per_s < 1) {
    const std::chrono::duration<double> interval(1 / limit.rate_per_s);
    const auto earliest =
        window.last_sent
            ? *window.last_sent + std::chrono::duration_cast<Duration>(interval)
            : window.began +
                  std::chrono::duration_cast<Duration>(interval * limit.phase);
    return now >= earliest;
  }
  const auto recent =
      std::count_if(window.sent.begin(), window.sent.end(),
                    [now](TimePoint sent) { return now - sent < kRateWindow; });
  return recent < static_cast<int>(limit.rate_per_s);
}

void RecordSent(ColdWindow& window, TimePoint now) {
  while (!window.sent.empty() && now - window.sent.front() >= kRateWindow)
    window.sent.pop_front();
  if (!IsCold(window, now))
    return;
  window.sent.push_back(now);
  window.last_sent = now;
}

}  // namespace mangodoor
