#ifndef PROCESS_ACCOUNTS_SHARE_H_
#define PROCESS_ACCOUNTS_SHARE_H_

#include <optional>
#include <vector>

#include "process/accounts/injected_limit_faults.h"
#include "process/accounts/token_bucket.h"
#include "process/clock.h"
#include "version/document.h"
#include "version/endpoint.h"

namespace mangodoor {

/** Longest time for which capacity is lent. */
constexpr Duration kLeaseMaxDuration = std::chrono::seconds(1);

/** A grantor counts a lease for this much longer than its borrower. */
constexpr Duration kLeaseMargin = std::chrono::milliseconds(100);

/**
 * Time for which the smaller of two shares holds. Every instance has the new
 * version, or is fenced and its leases have ended, before it is over.
 */
constexpr Duration kShareOverlap = std::chrono::seconds(10);

/** A part of each rate that held before; no part if `divisor` is 0. */
struct EarlierDivisor {
  int64_t divisor = 0;
  TimePoint until{};
};

/** Which part of each rate belongs to the entry address of this process. */
struct ShareRule {
  /** Number of entry addresses; 0 if the own one is not among them. */
  int64_t divisor = 0;
  std::vector<Endpoint> entry_addresses;
  TimePoint unchanged_since{};
  std::vector<EarlierDivisor> earlier;
  /** Until then the share that was in force before the start is unknown. */
  TimePoint unknown_until{};
  /** Until then a predecessor may have lent the share. */
  TimePoint mint_from{};
};

/** The rule of a process that starts now. */
ShareRule StartShareRule(TimePoint now, const InjectedLimitFaults& faults);

/** Adopts the entry addresses of a version. */
void AdoptEntryAddresses(ShareRule& rule,
                         const std::vector<Endpoint>& entry_addresses,
                         const Endpoint& own_address,
                         TimePoint now,
                         const InjectedLimitFaults& faults);

/**
 * Versions may have been missed, as at a start: no share until the overlap is
 * over or another instance confirms the entry addresses.
 */
void ForgetEarlierShares(ShareRule& rule, TimePoint now);

/**
 * Notes that another instance has used the same entry addresses for
 * `unchanged_for`, which shortens the wait after the start.
 */
void ConfirmEntryAddresses(ShareRule& rule,
                           Duration unchanged_for,
                           TimePoint now);

/** The divisor to use now; 0 if there is no share. */
int64_t DivisorInForce(const ShareRule& rule, TimePoint now);

/** The part of `fleet` that `divisor` gives, rounded down. */
Share ShareOf(const Share& fleet, int64_t divisor);

/** Rate and burst of a client account in micro-tokens. */
Share FleetShare(const ClientAccount& account);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_SHARE_H_
