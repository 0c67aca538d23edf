#ifndef PROCESS_CLOCK_H_
#define PROCESS_CLOCK_H_

#include <chrono>

namespace mangodoor {

/**
 * A point in time on the monotonic clock of Clock::Now(), which also runs
 * during suspend. Not comparable with std::chrono::steady_clock::now().
 */
using TimePoint = std::chrono::steady_clock::time_point;

/**
 * A point in calendar time, which can jump. Used only for planned changes, time
 * stamps and incarnations.
 */
using WallTime = std::chrono::system_clock::time_point;

using Duration = std::chrono::nanoseconds;

/** Converts a duration to seconds, for rates. */
inline double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/** The source of time, passed in so that tests can replace it. */
class Clock {
 public:
  virtual ~Clock() = default;

  virtual TimePoint Now() const = 0;
  virtual WallTime WallNow() const = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_CLOCK_H_
