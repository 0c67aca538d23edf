#ifndef TESTS_LIMITS_ORACLE_H_
#define TESTS_LIMITS_ORACLE_H_

#include <string>
#include <vector>

#include "process/clock.h"

namespace mangodoor {

/** Rate and burst that a client account is allowed from the time `from` on. */
struct AllowedRate {
  TimePoint from{};
  int64_t rate_per_s = 0;
  int64_t burst = 0;
};

/**
 * Checks the admissions of one client account in every time window,
 * independently of shares and leases: it is a single bucket for the whole fleet
 * that starts full. Its level becomes negative if and only if some window of
 * length w has more than rate * w + burst admissions.
 */
class WindowOracle {
 public:
  /** Sets the rate and burst from `allowed.from` on. */
  void Allow(const AllowedRate& allowed);

  /** Records one admission; false if it exceeds the allowed rate and burst. */
  bool RecordAdmission(TimePoint at);

 private:
  void AdvanceTo(TimePoint at);

  AllowedRate allowed_;
  TimePoint last_{};
  /** In units of 10^-9 tokens, so that rate * nanoseconds is exact. */
  int64_t level_ = 0;
  bool started_ = false;
};

}  // namespace mangodoor

#endif  // TESTS_LIMITS_ORACLE_H_
