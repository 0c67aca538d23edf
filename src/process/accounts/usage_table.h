#ifndef PROCESS_ACCOUNTS_USAGE_TABLE_H_
#define PROCESS_ACCOUNTS_USAGE_TABLE_H_

#include "process/accounts/usage_limiter.h"
#include "process/ordered_mutex.h"
#include "process/status/status.h"

namespace mangodoor {

/** The UsageLimiter of this instance, guarded by a lock. */
struct UsageTable {
  mutable OrderedMutex mutex{LockRank::kAccount};
  UsageLimiter limiter;
};

/** The state of each limited client account here, in any order. */
std::vector<AccountStatus> AccountStatuses(const UsageTable& table,
                                           TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_USAGE_TABLE_H_
