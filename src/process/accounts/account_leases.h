#ifndef PROCESS_ACCOUNTS_ACCOUNT_LEASES_H_
#define PROCESS_ACCOUNTS_ACCOUNT_LEASES_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "process/accounts/injected_limit_faults.h"
#include "process/accounts/share.h"
#include "process/accounts/token_bucket.h"
#include "process/clock.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/**
 * A lease request without a reply is dropped after this time. A round trip
 * takes 1 to 2 ms, and by default the waiting requests that it was sent for are
 * decided within 50 ms.
 */
constexpr Duration kLeaseReplyTimeout = std::chrono::milliseconds(100);

/**
 * The low bits of a lease id count the extensions of the lease; the bits above
 * are its name, which stays the same. A reply has the id of its request, so
 * that a repeated grant never counts as the reply to a later extension.
 */
constexpr int kExtensionBits = 12;

constexpr uint64_t LeaseName(uint64_t id) {
  return id >> kExtensionBits;
}

constexpr bool IsExtension(uint64_t id) {
  return (id & ((uint64_t{1} << kExtensionBits) - 1)) != 0;
}

/** Capacity that this instance has lent to a peer. */
struct GrantedLease {
  uint64_t id = 0;
  InstanceId to;
  RateAndBurst capacity;
  TimePoint until{};
};

/** Capacity that this instance has borrowed from a peer. */
struct BorrowedLease {
  /** Id of the latest extension that was granted. */
  uint64_t id = 0;
  /** Id of the latest extension that was requested. */
  uint64_t last_requested = 0;
  InstanceId from;
  RateAndBurst capacity;
  TimePoint until{};
};

/** A lease request that was sent and has no reply yet. */
struct PendingLeaseRequest {
  InstanceId to;
  CapacityLease wanted;
  TimePoint sent{};
};

/** The capacity leases of one client account at one instance. */
struct AccountLeases {
  std::vector<GrantedLease> granted;
  std::vector<BorrowedLease> borrowed;
  std::vector<PendingLeaseRequest> pending;
};

RateAndBurst TotalGranted(const AccountLeases& account_leases);
RateAndBurst TotalBorrowed(const AccountLeases& account_leases);

/** True if the sizes and the duration of a request are within their limits. */
bool IsValidRequest(const CapacityLease& wanted);

/**
 * Records that the capacity of `granted` is lent to `to` until `now` + the
 * lease's duration + kLeaseMargin.
 */
void AddGrantedLease(AccountLeases& account_leases,
                     const InstanceId& to,
                     const CapacityLease& granted,
                     TimePoint now);

/** True if the request with lease id `id` has no reply yet. */
bool IsPending(const AccountLeases& account_leases, uint64_t id);

/** The lease named by `id` that was granted to `to`; null if there is none. */
GrantedLease* FindGranted(AccountLeases& account_leases,
                          const InstanceId& to,
                          uint64_t id);

/** The borrowed lease named by `id`; null if there is none. */
BorrowedLease* FindBorrowed(AccountLeases& account_leases, uint64_t id);

/** Extends a granted lease; false for a repeated or reordered request. */
bool ExtendGranted(GrantedLease& lease,
                   const CapacityLease& wanted,
                   TimePoint now);

/**
 * Removes the granted lease that `from` has released; false if there is none,
 * or if the lease has been extended since.
 */
bool RemoveReleased(AccountLeases& account_leases,
                    const InstanceId& from,
                    uint64_t id);

/**
 * Removes and returns the pending request that `grant` replies to. Unset if
 * there is none, if the grant is invalid, or if the lease has already ended.
 */
std::optional<PendingLeaseRequest> TakeAnsweredRequest(
    AccountLeases& account_leases,
    const InstanceId& from,
    const CapacityLease& grant,
    TimePoint now,
    const InjectedLimitFaults& faults);

/** Adds or extends the borrowed lease; returns tokens to add to the bucket. */
MicroTokens ApplyGrant(AccountLeases& account_leases,
                       const PendingLeaseRequest& request,
                       const CapacityLease& granted,
                       TimePoint now,
                       const InjectedLimitFaults& faults);

void ExpireBorrowed(AccountLeases& account_leases,
                    TimePoint now,
                    const InjectedLimitFaults& faults);
void ExpireGranted(AccountLeases& account_leases, TimePoint now);
void ExpirePending(AccountLeases& account_leases,
                   TimePoint now,
                   const InjectedLimitFaults& faults);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ACCOUNT_LEASES_H_
