#include "process/servers/cold_window.h"

#include <algorithm>

namespace mangodoor {
namespace {

constexpr Duration kWindow = std::chrono::seconds(1);

}  // namespace

void NoteColdFor(ColdWindow& window, Duration remaining, TimePoint now) {
  if (remaining > Duration::zero())
    window.until = now + remaining;
  else
    window.until = std::min(window.until, now);
}

bool IsCold(const ColdWindow& window, TimePoint now) {
  return now < window.until;
}

bool MaySendCold(const ColdWindow& window,
                 double rate_per_s,
                 int instances,
                 TimePoint now) {
  if (rate_per_s <= 0 || !IsCold(window, now))
    return true;
  const auto recent =
      std::count_if(window.sent.begin(), window.sent.end(),
                    [now](TimePoint sent) { return now - sent < kWindow; });
  // One request each is always allowed, so that no server stays unused.
  const int allowed =
      std::max(1, static_cast<int>(rate_per_s / std::max(1, instances)));
  return recent < allowed;
}

void NoteSent(ColdWindow& window, TimePoint now) {
  while (!window.sent.empty() && now - window.sent.front() >= kWindow)
    window.sent.pop_front();
  if (IsCold(window, now))
    window.sent.push_back(now);
}

}  // namespace mangodoor
