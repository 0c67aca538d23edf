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

Share TotalGiven(const LeaseBook& book) {
  Share total;
  for (const GivenLease& lease : book.given)
    total = total + lease.capacity;
  return total;
}

Share TotalTaken(const LeaseBook& book) {
  Share total;
  for (const TakenLease& lease : book.taken)
    total = total + lease.capacity;
  return total;
}

bool IsValidRequest(const CapacityLease& wanted) {
  return IsValidSize(wanted.tokens) && IsValidSize(wanted.rate_per_s) &&
         IsValidSize(wanted.burst) && wanted.tokens <= wanted.burst &&
         wanted.duration > Duration::zero() &&
         wanted.duration <= kLeaseMaxDuration;
}

void GiveLease(LeaseBook& book,
               const InstanceId& to,
               const CapacityLease& granted,
               TimePoint now) {
  book.given.push_back({granted.id,
                        to,
                        {granted.rate_per_s, granted.burst},
                        now + granted.duration + kLeaseMargin});
}

bool IsPending(const LeaseBook& book, uint64_t id) {
  return std::any_of(
      book.pending.begin(), book.pending.end(),
      [id](const PendingLease& pending) { return pending.wanted.id == id; });
}

GivenLease* FindGiven(LeaseBook& book, const InstanceId& to, uint64_t id) {
  for (GivenLease& lease : book.given) {
    if (lease.to == to && LeaseName(lease.id) == LeaseName(id))
      return &lease;
  }
  return nullptr;
}

TakenLease* FindTaken(LeaseBook& book, uint64_t id) {
  for (TakenLease& lease : book.taken) {
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

bool EndReleased(LeaseBook& book, const InstanceId& from, uint64_t id) {
  const auto released = [&](const GivenLease& lease) {
    // A release that is older than the last extension is out of date.
    return lease.to == from && LeaseName(lease.id) == LeaseName(id) &&
           lease.id <= id;
  };
  const size_t before = book.given.size();
  EraseIf(book.given, released);
  return book.given.size() != before;
}

std::optional<PendingLease> TakeAnswered(LeaseBook& book,
                                         const InstanceId& from,
                                         const CapacityLease& grant,
                                         TimePoint now,
                                         const LimitFaults& faults) {
  const auto found =
      std::find_if(book.pending.begin(), book.pending.end(),
                   [&](const PendingLease& pending) {
                     return pending.to == from && pending.wanted.id == grant.id;
                   });
  if (found == book.pending.end() || !IsValidGrant(grant, found->wanted) ||
      (now - found->sent >= found->wanted.duration &&
       !faults.unanswered_request_is_kept))
    return std::nullopt;
  PendingLease answered = *found;
  if (!faults.repeated_grant_counts)
    book.pending.erase(found);
  return answered;
}

MicroTokens UseGrant(LeaseBook& book,
                     const PendingLease& request,
                     const CapacityLease& granted,
                     TimePoint now,
                     const LimitFaults& faults) {
  // A grant need not repeat the duration that was asked for.
  const Duration duration = granted.duration > Duration::zero()
                                ? granted.duration
                                : request.wanted.duration;
  const TimePoint until =
      (faults.borrower_counts_from_arrival ? now : request.sent) + duration;
  const Share capacity{granted.rate_per_s, granted.burst};
  if (IsExtension(granted.id)) {
    TakenLease* lease = FindTaken(book, granted.id);
    if (lease != nullptr && lease->capacity == capacity) {
      lease->id = granted.id;
      lease->until = std::max(lease->until, until);
    }
    return 0;
  }
  book.taken.push_back({granted.id, granted.id, request.to, capacity, until});
  return granted.tokens;
}

void EndTaken(LeaseBook& book, TimePoint now, const LimitFaults& faults) {
  if (faults.ended_lease_stays_in_use)
    return;
  EraseIf(book.taken,
          [now](const TakenLease& lease) { return lease.until <= now; });
}

void EndGiven(LeaseBook& book, TimePoint now) {
  EraseIf(book.given,
          [now](const GivenLease& lease) { return lease.until <= now; });
}

void ForgetUnanswered(LeaseBook& book,
                      TimePoint now,
                      const LimitFaults& faults) {
  if (faults.unanswered_request_is_kept)
    return;
  EraseIf(book.pending, [now](const PendingLease& pending) {
    return now - pending.sent >= kAnswerWait;
  });
}

}  // namespace mangodoor
