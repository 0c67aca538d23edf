#ifndef TESTS_PROCESS_FAKE_CLOCK_H_
#define TESTS_PROCESS_FAKE_CLOCK_H_

#include "process/clock.h"

namespace mangodoor {

/** A clock that moves only when a test calls Advance(). */
class FakeClock : public Clock {
 public:
  TimePoint Now() const override { return now_; }
  WallTime WallNow() const override { return wall_now_; }

  void Advance(Duration duration) {
    now_ += duration;
    wall_now_ += std::chrono::duration_cast<WallTime::duration>(duration);
  }

 private:
  TimePoint now_{std::chrono::hours(1)};
  WallTime wall_now_{std::chrono::hours(24 * 365 * 56)};
};

}  // namespace mangodoor

#endif  // TESTS_PROCESS_FAKE_CLOCK_H_
