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
  /** Rate and burst over the whole fleet. */
  RateAndBurst fleet_limit;
  /** Share of this instance's entry address at the last update. */
  RateAndBurst own_share;
  /** The share that each peer is expected to have. */
  RateAndBurst peer_share;
  TokenBucket bucket;
  AccountLeases leases;
  AdmissionQueue queue;
  Demand demand;
  PeerEstimates peers;
  /**
   * Rank of this instance among those that may pool the shares, see PoolRank.
   * Unset if its address is not an entry address.
   */
  std::optional<int> pool_rank;
  /** When rate was last lent or, if never, when the account was added. */
  TimePoint rate_lent_at{};
  /** Bounds the lease requests and releases sent for the account. */
  TokenBucket message_budget;
  /** No tokens are requested from peers before this time. */
  TimePoint next_token_request{};
  uint64_t admitted = 0;
  uint64_t refused = 0;
};

/**
 * The capacity that can be lent until `end`, which includes kLeaseMargin. Rate
 * is lent only from this instance's share. Burst is also lent from borrowed
 * leases that end no earlier than `end`, because an instance that borrowed most
 * of a small burst would otherwise withhold it from all others.
 */
RateAndBurst LendableCapacity(const AccountState& account, TimePoint end);

/**
 * Rate and burst of the bucket: this instance's share plus borrowed capacity,
 * minus lent capacity.
 */
RateAndBurst UsableCapacity(const AccountState& account);

/** Discards the tokens above the usable capacity's burst. */
void DiscardExcess(AccountState& account, const InjectedLimitFaults& faults);

/**
 * True if the borrowed lease `name` can be released: the burst capacity without
 * it covers all granted leases until the last of them ends.
 */
bool CanRelease(const AccountState& account, uint64_t name);

/** Ends expired leases, updates the share, and refills the bucket. */
void Advance(AccountState& account,
             int64_t divisor,
             TimePoint now,
             const InjectedLimitFaults& faults);

/** Sets the rate and burst over the fleet; clamps the bucket at once. */
void SetFleetLimit(AccountState& account,
                   const RateAndBurst& limit,
                   int64_t divisor,
                   const InjectedLimitFaults& faults);

/** Discards tokens and borrowed leases after a pause; keeps granted leases. */
void RestartAccount(AccountState& account, TimePoint now);

/** Decides waiting requests with ServeQueue() and counts the decisions. */
void ServeWaiting(AccountState& account,
                  TimePoint now,
                  const InjectedLimitFaults& faults,
                  AccountActions& actions);

AccountStatus StatusOf(const ClientAccountId& id, const AccountState& account);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ACCOUNT_STATE_H_
