#include "process/servers/cold_window.h"

#include <algorithm>

namespace mangodoor {
namespace {

constexpr Duration kRateWindow = std::chrono::seconds(1);

}  // namespace

void SetColdFor(ColdWindow& window, Duration remaining, TimePoint now) {
  if (remaining > Duration::zero())
    window.until = now + remaining;
  else
    window.until = std::min(window.until, now);
}

bool IsCold(const ColdWindow& window, TimePoint now) {
  return now < window.until;
}

bool MaySendCold(const ColdWindow& window, double rate_per_s, TimePoint now) {
  if (rate_per_s <= 0 || !IsCold(window, now))
    return true;
  if (rate_per_s < 1) {
    const auto interval = std::chrono::duration_cast<Duration>(
        std::chrono::duration<double>(1 / rate_per_s));
    return !window.last_sent || now - *window.last_sent >= interval;
  }
  const auto recent =
      std::count_if(window.sent.begin(), window.sent.end(),
                    [now](TimePoint sent) { return now - sent < kRateWindow; });
  return recent < static_cast<int>(rate_per_s);
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
