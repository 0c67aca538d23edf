#ifndef PROCESS_ACCOUNTS_LEASE_POLICY_H_
#define PROCESS_ACCOUNTS_LEASE_POLICY_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "process/accounts/account_state.h"
#include "process/clock.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/**
 * Duration of a lease that brings only tokens. It covers the wait for the
 * other parts of a token; the borrower releases the lease once they are used.
 */
constexpr Duration kTokenLeaseDuration = std::chrono::milliseconds(100);

/**
 * Shares with a burst below this are pooled at one instance. Alone they hold
 * few tokens or less than one, and to gather parts of a token from all
 * instances for each request takes many messages and often more than the wait
 * allows. Larger ones are not pooled, since each request that needs the pool
 * waits for a round trip.
 */
constexpr MicroTokens kPooledBurst = 3 * kMicroTokensPerToken;

/** The next instance pools the shares if they stay unused for this long. */
constexpr Duration kPoolTakeOver = std::chrono::seconds(2);

/** True if the shares of this client account are pooled. */
bool IsPooled(const AccountState& account);

/** True if this instance is to pool them now. */
bool PoolsHere(const AccountState& account, TimePoint now);

/**
 * The place of `own_address` in the order of instances that may pool the
 * shares of a client account: rendezvous hashing over the entry addresses.
 */
std::optional<int> PoolRank(const ClientAccountId& id,
                            const std::vector<Endpoint>& entry_addresses,
                            const Endpoint& own_address);

/** A capacity lease to request; its id is not set yet. */
struct LeaseWish {
  InstanceId to;
  CapacityLease wanted;
};

/**
 * Tokens for the waiting requests, from the peers that are expected to have
 * most to spare. `salt` spreads the choice among equal peers.
 */
std::vector<LeaseWish> PlanTokenLeases(const ClientAccountId& id,
                                       const AccountState& account,
                                       uint64_t salt,
                                       TimePoint now);

/** Rate for a demand that lasts. */
std::vector<LeaseWish> PlanRateLeases(const ClientAccountId& id,
                                      const AccountState& account,
                                      uint64_t salt,
                                      TimePoint now);

/** Names of the leases that are no longer needed. */
std::vector<uint64_t> PlanReleases(const AccountState& account, TimePoint now);

/** Names of the leases in use that are about to end. */
std::vector<uint64_t> PlanExtensions(const AccountState& account,
                                     TimePoint now);

/** What can be lent now of what a peer wants; all zero if nothing. */
CapacityLease OfferFor(const AccountState& account,
                       const CapacityLease& wanted,
                       TimePoint now);

/** True if a lease that was given may last longer. */
bool MayExtend(const AccountState& account);

/** Tokens that this instance could lend until `end`, margin included. */
MicroTokens SpareTokens(const AccountState& account, TimePoint end);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_LEASE_POLICY_H_
