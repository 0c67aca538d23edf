#include "process/system_clock.h"

#include <time.h>

namespace mangodoor {

TimePoint SystemClock::Now() const {
  // CLOCK_MONOTONIC stops while the machine is suspended. After waking, a lease
  // would still look valid although the instance that granted it has already
  // let it expire.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

WallTime SystemClock::WallNow() const {
  return std::chrono::system_clock::now();
}

}  // namespace mangodoor
