#ifndef PROCESS_ACCOUNTS_ACCOUNT_STATE_H_
#define PROCESS_ACCOUNTS_ACCOUNT_STATE_H_

#include <cstdint>
#include <optional>

#include "process/accounts/account_leases.h"
#include "process/accounts/admission_queue.h"
#include "process/accounts/demand.h"
#include "process/accounts/injected_limit_faults.h"
#include "process/accounts/share.h"
#include "process/accounts/token_bucket.h"
#include "process/status/status.h"

namespace mangodoor {

/** One client account at this instance. */
struct AccountState {
  /** Rate and burst over the fleet. */
  Share fleet;
  /** The share of the own entry address at the last look at the clock. */
  Share own;
  /** The share that peers are expected to have. */
  Share peer_share;
  TokenBucket bucket;
  AccountLeases leases;
  AdmissionQueue queue;
  Demand demand;
  PeerEstimates peers;
  /** Place of this instance among those that may pool the shares; see
   * lease_policy.h. Unset if it has no share. */
  std::optional<int> pool_rank;
  /** The last time at which rate was lent, or at which this began. */
  TimePoint rate_lent_at{};
  /** Lease messages that this instance may still send for the account. */
  TokenBucket message_budget;
  /** Tokens are not requested before. */
  TimePoint next_token_plan{};
  uint64_t admitted = 0;
  uint64_t refused = 0;
};

/**
 * What can be lent until `end`, margin included. Rate is lent from the own
 * share only. Burst capacity is lent on from borrowings too, if they end no
 * earlier than the new lease: else an instance that borrowed most of a small
 * burst would withhold it from all others.
 */
Share Lendable(const AccountState& account, TimePoint end);

/** What the bucket works with: own share and borrowings, less what is lent. */
Share Capacity(const AccountState& account);

/** Discards the tokens above the capacity. */
void DiscardExcess(AccountState& account, const InjectedLimitFaults& faults);

/** True if nothing that is lent on depends on the borrowing `name`. */
bool MayRelease(const AccountState& account, uint64_t name);

/** Brings leases, share and tokens up to `now`. */
void Advance(AccountState& account,
             int64_t divisor,
             TimePoint now,
             const InjectedLimitFaults& faults);

/** Adopts a rate and burst over the fleet; clamps at once. */
void AdoptFleetShare(AccountState& account,
                     const Share& fleet,
                     int64_t divisor,
                     const InjectedLimitFaults& faults);

/** After a pause: no tokens, no borrowings; what is lent stays lent. */
void RestartAccount(AccountState& account, TimePoint now);

/** Admits and refuses waiting requests. */
void ServeWaiting(AccountState& account,
                  TimePoint now,
                  const InjectedLimitFaults& faults,
                  AccountActions& actions);

AccountStatus StatusOf(const ClientAccountId& id, const AccountState& account);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ACCOUNT_STATE_H_
