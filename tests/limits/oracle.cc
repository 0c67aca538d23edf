#include "limits/oracle.h"

#include <algorithm>

namespace mangodoor {
namespace {

constexpr int64_t kUnitsPerToken = 1000000000;

}  // namespace

void WindowOracle::Allow(const AllowedRate& allowed) {
  AdvanceTo(allowed.from);
  // The fleet can use a larger burst at once, because instances can refill
  // their buckets before the first admission after the change. Adding the
  // difference keeps the check exact for windows that begin after the change.
  level_ +=
      std::max<int64_t>(0, allowed.burst - allowed_.burst) * kUnitsPerToken;
  allowed_ = allowed;
  level_ = std::min(level_, allowed_.burst * kUnitsPerToken);
}

bool WindowOracle::RecordAdmission(TimePoint at) {
  AdvanceTo(at);
  level_ -= kUnitsPerToken;
  return level_ >= 0;
}

void WindowOracle::AdvanceTo(TimePoint at) {
  if (started_) {
    level_ += allowed_.rate_per_s * (at - last_).count();
    level_ = std::min(level_, allowed_.burst * kUnitsPerToken);
  }
  started_ = true;
  last_ = at;
}

}  // namespace mangodoor
