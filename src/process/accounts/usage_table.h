#ifndef PROCESS_ACCOUNTS_USAGE_TABLE_H_
#define PROCESS_ACCOUNTS_USAGE_TABLE_H_

#include "process/accounts/usage_book.h"
#include "process/ordered_mutex.h"

namespace mangodoor {

/** The usage of client accounts, behind a lock. */
struct UsageTable {
  mutable OrderedMutex mutex{LockRank::kAccount};
  UsageBook book;
};

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_USAGE_TABLE_H_
