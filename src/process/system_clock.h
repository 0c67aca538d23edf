#ifndef PROCESS_SYSTEM_CLOCK_H_
#define PROCESS_SYSTEM_CLOCK_H_

#include "process/clock.h"

namespace mangodoor {

/** The clock of the operating system. */
class SystemClock : public Clock {
 public:
  TimePoint Now() const override;
  WallTime WallNow() const override;
};

}  // namespace mangodoor

#endif  // PROCESS_SYSTEM_CLOCK_H_
