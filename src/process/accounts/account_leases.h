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
 * A request without an answer is forgotten after this time; a round trip takes
 * 2 ms, and the waiting requests that it was for are decided after 50 ms.
 */
constexpr Duration kAnswerWait = std::chrono::milliseconds(100);

/**
 * The low bits of a lease id count its extensions; the bits above name the
 * lease. An answer is thereby tied to one request: a repeated grant never
 * counts as the answer to a later extension.
 */
constexpr int kExtensionBits = 12;

constexpr uint64_t LeaseName(uint64_t id) {
  return id >> kExtensionBits;
}

constexpr bool IsExtension(uint64_t id) {
  return (id & ((uint64_t{1} << kExtensionBits) - 1)) != 0;
}

/** Capacity that this instance has lent. */
struct GivenLease {
  uint64_t id = 0;
  InstanceId to;
  Share capacity;
  TimePoint until{};
};

/** Capacity that this instance has borrowed. */
struct TakenLease {
  /** Id of the latest extension that was granted. */
  uint64_t id = 0;
  /** Id of the latest extension that was requested. */
  uint64_t last_requested = 0;
  InstanceId from;
  Share capacity;
  TimePoint until{};
};

/** A lease request that waits for its answer. */
struct PendingLease {
  InstanceId to;
  CapacityLease wanted;
  TimePoint sent{};
};

/** The capacity leases of one client account at one instance. */
struct AccountLeases {
  std::vector<GivenLease> given;
  std::vector<TakenLease> taken;
  std::vector<PendingLease> pending;
};

Share TotalGiven(const AccountLeases& account_leases);
Share TotalTaken(const AccountLeases& account_leases);

/** True if the sizes and the duration of a request make sense. */
bool IsValidRequest(const CapacityLease& wanted);

/** Notes capacity as lent until `now` + its duration + margin. */
void GiveLease(AccountLeases& account_leases,
               const InstanceId& to,
               const CapacityLease& granted,
               TimePoint now);

/** True if the request `id` waits for its answer. */
bool IsPending(const AccountLeases& account_leases, uint64_t id);

/** The lease that `id` names, given to `to`; null if there is none. */
GivenLease* FindGiven(AccountLeases& account_leases,
                      const InstanceId& to,
                      uint64_t id);

/** The lease that `id` names; null if it is not in use. */
TakenLease* FindTaken(AccountLeases& account_leases, uint64_t id);

/** Lets a lease end later; ignores repeated and reordered requests. */
bool ExtendGiven(GivenLease& lease, const CapacityLease& wanted, TimePoint now);

/** Ends a lease that its borrower gave up. */
bool EndReleased(AccountLeases& account_leases,
                 const InstanceId& from,
                 uint64_t id);

/** Removes and returns the request that `grant` answers, if any. */
std::optional<PendingLease> TakeAnswered(AccountLeases& account_leases,
                                         const InstanceId& from,
                                         const CapacityLease& grant,
                                         TimePoint now,
                                         const InjectedLimitFaults& faults);

/** Puts granted capacity into use; returns the tokens that came with it. */
MicroTokens UseGrant(AccountLeases& account_leases,
                     const PendingLease& request,
                     const CapacityLease& granted,
                     TimePoint now,
                     const InjectedLimitFaults& faults);

void EndTaken(AccountLeases& account_leases,
              TimePoint now,
              const InjectedLimitFaults& faults);
void EndGiven(AccountLeases& account_leases, TimePoint now);
void ForgetUnanswered(AccountLeases& account_leases,
                      TimePoint now,
                      const InjectedLimitFaults& faults);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ACCOUNT_LEASES_H_
