#include "process/accounts/account_leases.h"

#include <algorithm>

namespace mangodoor {
namespace {

// Above every rate and burst that a document can hold; sums stay below 2^63.
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

Share TotalGiven(const AccountLeases& account_leases) {
  Share total;
  for (const GivenLease& lease : account_leases.given)
    total = total + lease.capacity;
  return total;
}

Share TotalTaken(const AccountLeases& account_leases) {
  Share total;
  for (const TakenLease& lease : account_leases.taken)
    total = total + lease.capacity;
  return total;
}

bool IsValidRequest(const CapacityLease& wanted) {
  return IsValidSize(wanted.tokens) && IsValidSize(wanted.rate_per_s) &&
         IsValidSize(wanted.burst) && wanted.tokens <= wanted.burst &&
         wanted.duration > Duration::zero() &&
         wanted.duration <= kLeaseMaxDuration;
}

void GiveLease(AccountLeases& account_leases,
               const InstanceId& to,
               const CapacityLease& granted,
               TimePoint now) {
  account_leases.given.push_back({granted.id,
                                  to,
                                  {granted.rate_per_s, granted.burst},
                                  now + granted.duration + kLeaseMargin});
}

bool IsPending(const AccountLeases& account_leases, uint64_t id) {
  return std::any_of(
      account_leases.pending.begin(), account_leases.pending.end(),
      [id](const PendingLease& pending) { return pending.wanted.id == id; });
}

GivenLease* FindGiven(AccountLeases& account_leases,
                      const InstanceId& to,
                      uint64_t id) {
  for (GivenLease& lease : account_leases.given) {
    if (lease.to == to && LeaseName(lease.id) == LeaseName(id))
      return &lease;
  }
  return nullptr;
}

TakenLease* FindTaken(AccountLeases& account_leases, uint64_t id) {
  for (TakenLease& lease : account_leases.taken) {
    if (LeaseName(lease.id) == LeaseName(id))
      return &lease;
  }
  return nullptr;
}

bool ExtendGiven(GivenLease& lease,
                 const CapacityLease& wanted,
                 TimePoint now) {
  if (wanted.id <= lease.id)
    return false;
  lease.id = wanted.id;
  lease.until = std::max(lease.until, now + wanted.duration + kLeaseMargin);
  return true;
}

bool EndReleased(AccountLeases& account_leases,
                 const InstanceId& from,
                 uint64_t id) {
  const auto released = [&](const GivenLease& lease) {
    // A release that is older than the last extension is out of date.
    return lease.to == from && LeaseName(lease.id) == LeaseName(id) &&
           lease.id <= id;
  };
  const size_t before = account_leases.given.size();
  EraseIf(account_leases.given, released);
  return account_leases.given.size() != before;
}

std::optional<PendingLease> TakeAnswered(AccountLeases& account_leases,
                                         const InstanceId& from,
                                         const CapacityLease& grant,
                                         TimePoint now,
                                         const InjectedLimitFaults& faults) {
  const auto found =
      std::find_if(account_leases.pending.begin(), account_leases.pending.end(),
                   [&](const PendingLease& pending) {
                     return pending.to == from && pending.wanted.id == grant.id;
                   });
  if (found == account_leases.pending.end() ||
      !IsValidGrant(grant, found->wanted) ||
      (now - found->sent >= found->wanted.duration &&
       !faults.unanswered_request_is_kept))
    return std::nullopt;
  PendingLease answered = *found;
  if (!faults.repeated_grant_counts)
    account_leases.pending.erase(found);
  return answered;
}

MicroTokens UseGrant(AccountLeases& account_leases,
                     const PendingLease& request,
                     const CapacityLease& granted,
                     TimePoint now,
                     const InjectedLimitFaults& faults) {
  // A grant need not repeat the duration that was asked for.
  const Duration duration = granted.duration > Duration::zero()
                                ? granted.duration
                                : request.wanted.duration;
  const TimePoint until =
      (faults.borrower_counts_from_arrival ? now : request.sent) + duration;
  const Share capacity{granted.rate_per_s, granted.burst};
  if (IsExtension(granted.id)) {
    TakenLease* lease = FindTaken(account_leases, granted.id);
    if (lease != nullptr && lease->capacity == capacity) {
      lease->id = granted.id;
      lease->until = std::max(lease->until, until);
    }
    return 0;
  }
  account_leases.taken.push_back(
      {granted.id, granted.id, request.to, capacity, until});
  return granted.tokens;
}

void EndTaken(AccountLeases& account_leases,
              TimePoint now,
              const InjectedLimitFaults& faults) {
  if (faults.ended_lease_stays_in_use)
    return;
  EraseIf(account_leases.taken,
          [now](const TakenLease& lease) { return lease.until <= now; });
}

void EndGiven(AccountLeases& account_leases, TimePoint now) {
  EraseIf(account_leases.given,
          [now](const GivenLease& lease) { return lease.until <= now; });
}

void ForgetUnanswered(AccountLeases& account_leases,
                      TimePoint now,
                      const InjectedLimitFaults& faults) {
  if (faults.unanswered_request_is_kept)
    return;
  EraseIf(account_leases.pending, [now](const PendingLease& pending) {
    return now - pending.sent >= kAnswerWait;
  });
}

}  // namespace mangodoor
