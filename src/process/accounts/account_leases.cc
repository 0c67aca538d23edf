#include "process/accounts/account_leases.h"

#include <algorithm>

namespace mangodoor {
namespace {

// FleetLimit() clamps every rate and burst to this, so no valid lease is
// larger. Sums of leases stay below 2^63.
constexpr MicroTokens kMaxLeaseSize = 1000000 * kMicroTokensPerToken;

bool IsValidSize(MicroTokens size) {
  return size >= 0 && size <= kMaxLeaseSize;
}

bool IsValidGrant(const CapacityLease& granted, const CapacityLease& wanted) {
  return IsValidSize(granted.tokens) && IsValidSize(granted.rate_per_s) &&
         IsValidSize(granted.burst) && granted.tokens <= wanted.tokens &&
         granted.rate_per_s <= wanted.rate_per_s &&
         granted.burst <= wanted.burst && granted.tokens <= granted.burst &&
         granted.duration >= Duration::zero() &&
         granted.duration <= wanted.duration;
}

template <typename Leases, typename Condition>
void EraseIf(Leases& leases, Condition condition) {
  leases.erase(std::remove_if(leases.begin(), leases.end(), condition),
               leases.end());
}

}  // namespace

RateAndBurst TotalGranted(const AccountLeases& account_leases) {
  RateAndBurst total;
  for (const GrantedLease& lease : account_leases.granted)
    total = total + lease.capacity;
  return total;
}

RateAndBurst TotalBorrowed(const AccountLeases& account_leases) {
  RateAndBurst total;
  for (const BorrowedLease& lease : account_leases.borrowed)
    total = total + lease.capacity;
  return total;
}

bool IsValidRequest(const CapacityLease& wanted) {
  return IsValidSize(wanted.tokens) && IsValidSize(wanted.rate_per_s) &&
         IsValidSize(wanted.burst) && wanted.tokens <= wanted.burst &&
         wanted.duration > Duration::zero() &&
         wanted.duration <= kLeaseMaxDuration;
}

void AddGrantedLease(AccountLeases& account_leases,
                     const InstanceId& to,
                     const CapacityLease& granted,
                     TimePoint now) {
  account_leases.granted.push_back({granted.id,
                                    to,
                                    {granted.rate_per_s, granted.burst},
                                    now + granted.duration + kLeaseMargin});
}

bool IsPending(const AccountLeases& account_leases, uint64_t id) {
  return std::any_of(account_leases.pending.begin(),
                     account_leases.pending.end(),
                     [id](const PendingLeaseRequest& pending) {
                       return pending.wanted.id == id;
                     });
}

GrantedLease* FindGranted(AccountLeases& account_leases,
                          const InstanceId& to,
                          uint64_t id) {
  for (GrantedLease& lease : account_leases.granted) {
    if (lease.to == to && LeaseName(lease.id) == LeaseName(id))
      return &lease;
  }
  return nullptr;
}

BorrowedLease* FindBorrowed(AccountLeases& account_leases, uint64_t id) {
  for (BorrowedLease& lease : account_leases.borrowed) {
    if (LeaseName(lease.id) == LeaseName(id))
      return &lease;
  }
  return nullptr;
}

bool ExtendGranted(GrantedLease& lease,
                   const CapacityLease& wanted,
                   TimePoint now) {
  if (wanted.id <= lease.id)
    return false;
  lease.id = wanted.id;
  lease.until = std::max(lease.until, now + wanted.duration + kLeaseMargin);
  return true;
}

bool RemoveReleased(AccountLeases& account_leases,
                    const InstanceId& from,
                    uint64_t id) {
  const auto released = [&](const GrantedLease& lease) {
    // A release that was sent before the last extension is ignored.
    return lease.to == from && LeaseName(lease.id) == LeaseName(id) &&
           lease.id <= id;
  };
  const size_t before = account_leases.granted.size();
  EraseIf(account_leases.granted, released);
  return account_leases.granted.size() != before;
}

std::optional<PendingLeaseRequest> TakeAnsweredRequest(
    AccountLeases& account_leases,
    const InstanceId& from,
    const CapacityLease& grant,
    TimePoint now,
    const InjectedLimitFaults& faults) {
  const auto found =
      std::find_if(account_leases.pending.begin(), account_leases.pending.end(),
                   [&](const PendingLeaseRequest& pending) {
                     return pending.to == from && pending.wanted.id == grant.id;
                   });
  if (found == account_leases.pending.end() ||
      !IsValidGrant(grant, found->wanted) ||
      (now - found->sent >= found->wanted.duration &&
       !faults.unanswered_request_is_kept))
    return std::nullopt;
  PendingLeaseRequest answered = *found;
  if (!faults.repeated_grant_counts)
    account_leases.pending.erase(found);
  return answered;
}

MicroTokens ApplyGrant(AccountLeases& account_leases,
                       const PendingLeaseRequest& request,
                       const CapacityLease& granted,
                       TimePoint now,
                       const InjectedLimitFaults& faults) {
  // A grant without a duration has the duration that was requested.
  const Duration duration = granted.duration > Duration::zero()
                                ? granted.duration
                                : request.wanted.duration;
  const TimePoint until =
      (faults.borrower_counts_from_arrival ? now : request.sent) + duration;
  const RateAndBurst capacity{granted.rate_per_s, granted.burst};
  if (IsExtension(granted.id)) {
    BorrowedLease* lease = FindBorrowed(account_leases, granted.id);
    if (lease != nullptr && lease->capacity == capacity) {
      lease->id = granted.id;
      lease->until = std::max(lease->until, until);
    }
    return 0;
  }
  account_leases.borrowed.push_back(
      {granted.id, granted.id, request.to, capacity, until});
  return granted.tokens;
}

void ExpireBorrowed(AccountLeases& account_leases,
                    TimePoint now,
                    const InjectedLimitFaults& faults) {
  if (faults.ended_lease_stays_in_use)
    return;
  EraseIf(account_leases.borrowed,
          [now](const BorrowedLease& lease) { return lease.until <= now; });
}

void ExpireGranted(AccountLeases& account_leases, TimePoint now) {
  EraseIf(account_leases.granted,
          [now](const GrantedLease& lease) { return lease.until <= now; });
}

void ExpirePending(AccountLeases& account_leases,
                   TimePoint now,
                   const InjectedLimitFaults& faults) {
  if (faults.unanswered_request_is_kept)
    return;
  EraseIf(account_leases.pending, [now](const PendingLeaseRequest& pending) {
    return now - pending.sent >= kLeaseReplyTimeout;
  });
}

}  // namespace mangodoor
