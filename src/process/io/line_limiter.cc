#include "process/io/line_limiter.h"

#include <utility>

namespace mangodoor {
namespace {

constexpr std::chrono::seconds kWindow{1};

}  // namespace

LineLimiter::Admission LineLimiter::Admit() {
  OrderedLock lock(mutex_);
  Admission admission;
  const TimePoint now = clock_.Now();
  if (now - second_start_ >= kWindow) {
    second_start_ = now;
    written_ = 0;
    admission.dropped = std::exchange(dropped_, 0);
  }
  admission.admitted = written_ < lines_per_second_;
  ++(admission.admitted ? written_ : dropped_);
  return admission;
}

}  // namespace mangodoor
