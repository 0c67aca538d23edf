#ifndef PROCESS_SERVERS_ATTEMPT_TABLE_H_
#define PROCESS_SERVERS_ATTEMPT_TABLE_H_

#include <chrono>

#include "process/clock.h"
#include "process/ordered_mutex.h"

namespace mangodoor {

/** Repeated and hedged attempts are a bounded part of recent requests. */
struct RetryBudget {
  /** Requests and repeats of the current and the previous second. */
  TimePoint second_start{};
  int requests = 0;
  int repeats = 0;
  int previous_requests = 0;
  int previous_repeats = 0;
};

void CountRequest(RetryBudget& budget, TimePoint now);
bool MayRepeat(const RetryBudget& budget, TimePoint now);
void CountRepeat(RetryBudget& budget, TimePoint now);

/** What the attempts of all requests share. */
struct AttemptTable {
  mutable OrderedMutex mutex{LockRank::kConnection};
  RetryBudget budget;
};

/** Counts a request, which earns a part of a repeat. */
void BeginRequest(AttemptTable& table, TimePoint now);

/** Takes one repeat from the budget, or says that none is left. */
bool TakeRepeat(AttemptTable& table, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_ATTEMPT_TABLE_H_
