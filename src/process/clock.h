#ifndef PROCESS_CLOCK_H_
#define PROCESS_CLOCK_H_

#include <chrono>

namespace mangodoor {

/** A point on the monotonic clock. It also counts time spent suspended. */
using TimePoint = std::chrono::steady_clock::time_point;

/** A point of calendar time; used only for planned changes and records. */
using WallTime = std::chrono::system_clock::time_point;

using Duration = std::chrono::nanoseconds;

/** The duration in seconds, for rates. */
inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/** Source of time, passed in wherever time is read. */
class Clock {
 public:
  virtual ~Clock() = default;

  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_CLOCK_H_
