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

/** Maximum duration of a capacity lease. */
constexpr Duration kLeaseMaxDuration = std::chrono::seconds(1);

/**
 * The grantor of a lease adds this to its duration, so that it uses the
 * capacity again only after the borrower has stopped.
 */
constexpr Duration kLeaseMargin = std::chrono::milliseconds(100);

/**
 * After a change of the entry addresses, an instance uses the smaller of its
 * old and new shares for this long. By then every instance has the new version,
 * or is fenced and its leases have ended.
 */
constexpr Duration kShareOverlap = std::chrono::seconds(10);

/**
 * The divisor of an earlier set of entry addresses, which limits the share
 * until `until`; 0 if that set gave no share.
 */
struct EarlierDivisor {
  int64_t divisor = 0;
  TimePoint until{};
};

/**
 * Determines this process's share of the rate and burst of each client account,
 * from the entry addresses in force and earlier ones.
 */
struct ShareState {
  /** Number of entry addresses; 0 if this instance's own is not among them. */
  int64_t divisor = 0;
  std::vector<Endpoint> entry_addresses;
  TimePoint unchanged_since{};
  std::vector<EarlierDivisor> earlier;
  /**
   * There is no share before this time, because peers may still use an earlier
   * version in which the share of this entry address is unknown.
   */
  TimePoint earlier_unknown_until{};
  /**
   * There is no share before this time, because leases that the previous
   * process at this entry address granted from the share may still be in use.
   */
  TimePoint usable_from{};
};

/** The state of a process that starts at `now`. */
ShareState MakeShareState(TimePoint now, const InjectedLimitFaults& faults);

/** Applies the entry addresses of a new version. */
void AdoptEntryAddresses(ShareState& state,
                         const std::vector<Endpoint>& entry_addresses,
                         const Endpoint& own_address,
                         TimePoint now,
                         const InjectedLimitFaults& faults);

/**
 * Call this when versions may have been missed. As after a start, there is then
 * no share until kShareOverlap has passed or another instance has confirmed the
 * entry addresses.
 */
void MarkEarlierSharesUnknown(ShareState& state, TimePoint now);

/**
 * Records that another instance has used the same entry addresses for
 * `unchanged_for`, which shortens the time without a share after a start or
 * MarkEarlierSharesUnknown().
 */
void ConfirmEntryAddresses(ShareState& state,
                           Duration unchanged_for,
                           TimePoint now);

/** The divisor in force at `now`; 0 if there is no share. */
int64_t DivisorInForce(const ShareState& state, TimePoint now);

/** `limit` divided by `divisor`, rounded down; nothing if `divisor` is 0. */
RateAndBurst ShareOf(const RateAndBurst& limit, int64_t divisor);

/** Rate and burst of a client account over the fleet, in micro-tokens. */
RateAndBurst FleetLimit(const ClientAccount& account);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_SHARE_H_
