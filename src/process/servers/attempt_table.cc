#include "process/servers/attempt_table.h"

namespace mangodoor {
namespace {

constexpr std::chrono::seconds kPeriod{1};
// 20% of recent requests, at least 3 a second (design 5.5).
constexpr int kRequestsPerRepeat = 5;
constexpr int kMinRepeats = 3;

/** The budget as it is at `now`, with old seconds dropped. */
RetryBudget Advanced(RetryBudget budget, TimePoint now) {
  if (now < budget.second_start + kPeriod)
    return budget;
  const bool next_second = now < budget.second_start + 2 * kPeriod;
  budget.previous_requests = next_second ? budget.requests : 0;
  budget.previous_repeats = next_second ? budget.repeats : 0;
  budget.requests = 0;
  budget.repeats = 0;
  budget.second_start = next_second ? budget.second_start + kPeriod : now;
  return budget;
}

}  // namespace

void CountRequest(RetryBudget& budget, TimePoint now) {
  budget = Advanced(budget, now);
  ++budget.requests;
}

bool MayRepeat(const RetryBudget& budget, TimePoint now) {
  const RetryBudget current = Advanced(budget, now);
  const int requests = current.requests + current.previous_requests;
  const int repeats = current.repeats + current.previous_repeats;
  return current.repeats < kMinRepeats ||
         repeats < requests / kRequestsPerRepeat;
}

void CountRepeat(RetryBudget& budget, TimePoint now) {
  budget = Advanced(budget, now);
  ++budget.repeats;
}

void BeginRequest(AttemptTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  CountRequest(table.budget, now);
}

bool TakeRepeat(AttemptTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  if (!MayRepeat(table.budget, now))
    return false;
  CountRepeat(table.budget, now);
  return true;
}

}  // namespace mangodoor
