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
 * Duration of a lease of tokens without rate. It covers the time in which the
 * borrower collects fractions of one token from several peers; the borrower
 * releases the lease once the tokens are used.
 */
constexpr Duration kTokenLeaseDuration = std::chrono::milliseconds(100);

/**
 * The shares of a client account are pooled at one instance if each has a burst
 * below this. Such a share holds few tokens or less than one, and collecting
 * fractions of a token from all instances for each request takes many messages
 * and often more time than the admission wait. Larger shares are not pooled,
 * because a request that needs the pool waits for a round trip.
 */
constexpr MicroTokens kMinUnpooledBurst = 3 * kMicroTokensPerToken;

/**
 * The instance of rank n takes over the pool if no peer has borrowed rate from
 * it for n times this duration.
 */
constexpr Duration kPoolTakeoverDelay = std::chrono::seconds(2);

/** True if the shares of this client account are pooled. */
bool IsPooled(const AccountState& account);

/** True if this instance should pool the shares of the account now. */
bool ShouldPoolHere(const AccountState& account, TimePoint now);

/**
 * Rank of `own_address` among the entry addresses whose instances can pool the
 * shares of a client account, by rendezvous hashing; 0 is first. Unset if it is
 * not an entry address.
 */
std::optional<int> PoolRank(const ClientAccountId& id,
                            const std::vector<Endpoint>& entry_addresses,
                            const Endpoint& own_address);

/** A capacity lease to request from `to`; its id is not set yet. */
struct PlannedRequest {
  InstanceId to;
  CapacityLease wanted;
};

/**
 * Leases of tokens for the waiting requests and those expected soon; none if no
 * request waits. They come from the peer that pools the shares, if there is
 * one, else from the peers that are expected to have the most to spare. `salt`
 * varies the choice among equal peers.
 */
std::vector<PlannedRequest> PlanTokenLeases(const ClientAccountId& id,
                                            const AccountState& account,
                                            uint64_t salt,
                                            TimePoint now);

/** Leases of rate for a lasting demand, or for pooling the shares here. */
std::vector<PlannedRequest> PlanRateLeases(const ClientAccountId& id,
                                           const AccountState& account,
                                           uint64_t salt,
                                           TimePoint now);

/** Names of the borrowed leases that are no longer needed. */
std::vector<uint64_t> PlanReleases(const AccountState& account, TimePoint now);

/** Names of the borrowed rate leases that are about to end. */
std::vector<uint64_t> PlanExtensions(const AccountState& account,
                                     TimePoint now);

/**
 * The part of a peer's request that can be lent now; tokens, rate and burst are
 * zero if there is none.
 */
CapacityLease MakeOffer(const AccountState& account,
                        const CapacityLease& wanted,
                        TimePoint now);

/**
 * True if granted leases can be extended: they fit this instance's share and,
 * unless the shares are pooled, the expected demand here is at most 130% of the
 * usable rate.
 */
bool CanExtend(const AccountState& account);

/** Tokens that can be lent until `end`, which includes kLeaseMargin. */
MicroTokens SpareTokens(const AccountState& account, TimePoint end);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_LEASE_POLICY_H_
