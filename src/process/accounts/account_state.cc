#include "process/accounts/account_state.h"

#include <algorithm>

namespace mangodoor {

RateAndBurst LendableCapacity(const AccountState& account, TimePoint end) {
  RateAndBurst whole = account.own_share;
  for (const BorrowedLease& lease : account.leases.borrowed) {
    if (lease.until >= end)
      whole.burst += lease.capacity.burst;
  }
  return Remaining(whole, TotalGranted(account.leases));
}

RateAndBurst UsableCapacity(const AccountState& account) {
  return Remaining(account.own_share + TotalBorrowed(account.leases),
                   TotalGranted(account.leases));
}

bool CanRelease(const AccountState& account, uint64_t name) {
  TimePoint last_end{};
  for (const GrantedLease& lease : account.leases.granted)
    last_end = std::max(last_end, lease.until);
  RateAndBurst whole = account.own_share;
  for (const BorrowedLease& lease : account.leases.borrowed) {
    if (LeaseName(lease.id) != name && lease.until >= last_end)
      whole.burst += lease.capacity.burst;
  }
  return TotalGranted(account.leases).burst <= whole.burst;
}

void DiscardExcess(AccountState& account, const InjectedLimitFaults& faults) {
  if (!faults.tokens_above_cap_are_kept)
    ClampTokens(account.bucket, UsableCapacity(account).burst);
}

void Advance(AccountState& account,
             int64_t divisor,
             TimePoint now,
             const InjectedLimitFaults& faults) {
  const MicroTokens before = account.bucket.tokens;
  ExpireBorrowed(account.leases, now, faults);
  ExpirePending(account.leases, now, faults);
  // The refill uses the smallest capacity that was in force at any time since
  // the last update: without the borrowed leases that have ended by now, and
  // without the lent capacity that returns now.
  const RateAndBurst next = ShareOf(account.fleet_limit, divisor);
  const bool share_begins = account.own_share == RateAndBurst{};
  account.own_share = Minimum(account.own_share, next);
  Refill(account.bucket, UsableCapacity(account), now);
  account.own_share = next;
  ExpireGranted(account.leases, now);
  DiscardExcess(account, faults);
  if (faults.tokens_above_cap_are_kept)
    account.bucket.tokens = std::max(account.bucket.tokens, before);
  if (faults.share_begins_with_full_bucket && share_begins)
    account.bucket.tokens = UsableCapacity(account).burst;
}

void SetFleetLimit(AccountState& account,
                   const RateAndBurst& limit,
                   int64_t divisor,
                   const InjectedLimitFaults& faults) {
  account.fleet_limit = limit;
  account.own_share = ShareOf(limit, divisor);
  DiscardExcess(account, faults);
}

void RestartAccount(AccountState& account, TimePoint now) {
  EmptyBucket(account.bucket, now);
  account.leases.borrowed.clear();
  account.leases.pending.clear();
  account.peers.clear();
}

void ServeWaiting(AccountState& account,
                  TimePoint now,
                  const InjectedLimitFaults& faults,
                  AccountActions& actions) {
  const QueueDecisions decisions =
      ServeQueue(account.queue, account.bucket, now, faults, actions);
  account.admitted += decisions.admitted;
  account.refused += decisions.refused;
}

AccountStatus StatusOf(const ClientAccountId& id, const AccountState& account) {
  const RateAndBurst capacity = UsableCapacity(account);
  AccountStatus status;
  status.client_account = id;
  status.tokens = account.bucket.tokens;
  status.rate_per_s = capacity.rate_per_s;
  status.burst = capacity.burst;
  status.lent = TotalGranted(account.leases).burst;
  status.borrowed = TotalBorrowed(account.leases).burst;
  status.admitted = account.admitted;
  status.refused = account.refused;
  status.waiting = static_cast<int>(account.queue.waiting.size());
  return status;
}

}  // namespace mangodoor
