#ifndef PROCESS_IO_LINE_LIMITER_H_
#define PROCESS_IO_LINE_LIMITER_H_

#include "process/clock.h"
#include "process/ordered_mutex.h"

namespace mangodoor {

/**
 * Bounds the number of log lines of one kind. All functions can be called on
 * any thread.
 */
class LineLimiter {
 public:
  struct Admission {
    /** True if the line may be written. */
    bool admitted = false;
    /**
     * Lines that were not written in an earlier second and have not been
     * reported yet.
     */
    int dropped = 0;
  };

  LineLimiter(const Clock& clock, int lines_per_second)
      : clock_(clock), lines_per_second_(lines_per_second) {}

  Admission Admit();

 private:
  const Clock& clock_;
  const int lines_per_second_;
  OrderedMutex mutex_{LockRank::kAudit};
  // Guarded by `mutex_`.
  TimePoint second_start_{};
  int written_ = 0;
  int dropped_ = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_IO_LINE_LIMITER_H_
