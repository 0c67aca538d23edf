#include "process/accounts/account_state.h"

#include <algorithm>

namespace mangodoor {

Share Lendable(const AccountState& account, TimePoint end) {
  Share whole = account.own;
  for (const TakenLease& lease : account.leases.taken) {
    if (lease.until >= end)
      whole.burst += lease.capacity.burst;
  }
  return Remaining(whole, TotalGiven(account.leases));
}

Share Capacity(const AccountState& account) {
  return Remaining(account.own + TotalTaken(account.leases),
                   TotalGiven(account.leases));
}

bool MayRelease(const AccountState& account, uint64_t name) {
  TimePoint last_end{};
  for (const GivenLease& lease : account.leases.given)
    last_end = std::max(last_end, lease.until);
  Share whole = account.own;
  for (const TakenLease& lease : account.leases.taken) {
    if (LeaseName(lease.id) != name && lease.until >= last_end)
      whole.burst += lease.capacity.burst;
  }
  return TotalGiven(account.leases).burst <= whole.burst;
}

void DiscardExcess(AccountState& account, const InjectedLimitFaults& faults) {
  if (!faults.tokens_above_cap_are_kept)
    Clamp(account.bucket, Capacity(account).burst);
}

void Advance(AccountState& account,
             int64_t divisor,
             TimePoint now,
             const InjectedLimitFaults& faults) {
  const MicroTokens before = account.bucket.tokens;
  EndTaken(account.leases, now, faults);
  ForgetUnanswered(account.leases, now, faults);
  // For the whole interval since the last look, minting uses the least
  // capacity that held in it: borrowings that ended are out already, lent
  // capacity that returns is not yet in.
  const Share next = ShareOf(account.fleet, divisor);
  const bool begins = account.own == Share{};
  account.own = Smaller(account.own, next);
  Mint(account.bucket, Capacity(account), now);
  account.own = next;
  EndGiven(account.leases, now);
  DiscardExcess(account, faults);
  if (faults.tokens_above_cap_are_kept)
    account.bucket.tokens = std::max(account.bucket.tokens, before);
  if (faults.share_begins_with_full_bucket && begins)
    account.bucket.tokens = Capacity(account).burst;
}

void AdoptFleetShare(AccountState& account,
                     const Share& fleet,
                     int64_t divisor,
                     const InjectedLimitFaults& faults) {
  account.fleet = fleet;
  account.own = ShareOf(fleet, divisor);
  DiscardExcess(account, faults);
}

void RestartAccount(AccountState& account, TimePoint now) {
  Empty(account.bucket, now);
  account.leases.taken.clear();
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
  const Share capacity = Capacity(account);
  AccountStatus status;
  status.client_account = id;
  status.tokens = account.bucket.tokens;
  status.rate_per_s = capacity.rate_per_s;
  status.burst = capacity.burst;
  status.lent = TotalGiven(account.leases).burst;
  status.borrowed = TotalTaken(account.leases).burst;
  status.admitted = account.admitted;
  status.refused = account.refused;
  status.waiting = static_cast<int>(account.queue.waiting.size());
  return status;
}

}  // namespace mangodoor
