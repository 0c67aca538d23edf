#include "process/accounts/lease_policy.h"

#include <algorithm>
#include <functional>

namespace mangodoor {
namespace {

// Tokens are also requested for the requests expected in this time, so that the
// number of messages does not grow with the rate.
constexpr Duration kLookAheadTime = std::chrono::milliseconds(30);

// A grantor keeps the tokens that its own callers are expected to use in this
// time.
constexpr Duration kTokenReserveTime = std::chrono::milliseconds(20);

// Extensions are requested this long before a lease ends: three attempts fit
// in, and pooled burst can be lent on without a gap.
constexpr Duration kExtendBeforeEnd = std::chrono::milliseconds(350);

// Below this rate (micro-tokens a second) a steady demand cannot be
// distinguished from single requests, and only tokens are borrowed.
constexpr MicroTokens kMinBorrowRate = 4 * kMicroTokensPerToken;

// Percentages of the expected demand. A borrower requests rate up to
// kBorrowPercent, and releases a lease if kReleasePercent remains without it.
// The gap keeps it from requesting and releasing leases in turn. A grantor
// keeps kReservePercent for its own callers.
constexpr int64_t kBorrowPercent = 110;
constexpr int64_t kReleasePercent = 130;
constexpr int64_t kReservePercent = 110;

// Tokens are requested only from peers that are expected to have this many to
// spare, or 1/32 of a share's burst if that is less. Fewer are not worth the
// messages.
constexpr MicroTokens kMinRequestTokens = kMicroTokensPerToken / 4;

// The second lease is for rate that the peer could not lend at the time of the
// first.
constexpr int64_t kMaxRateLeasesPerPeer = 2;

// At high rates, kMinRequestTokens is replaced by the tokens that are expected
// to be used in this time.
constexpr Duration kMinRequestTime = std::chrono::milliseconds(2);

MicroTokens Percent(MicroTokens value, int64_t percent) {
  return value / 100 * percent;
}

MicroTokens TokensIn(MicroTokens rate_per_s, Duration duration) {
  return rate_per_s / 1000 *
         std::chrono::duration_cast<std::chrono::milliseconds>(duration)
             .count();
}

struct Candidate {
  InstanceId id;
  MicroTokens spare = 0;
  size_t tie_break = 0;
};

bool IsPending(const AccountState& account, const InstanceId& peer) {
  return std::any_of(
      account.leases.pending.begin(), account.leases.pending.end(),
      [&](const PendingLeaseRequest& pending) { return pending.to == peer; });
}

/** Peers without a pending request, those with most spare tokens first. */
std::vector<Candidate> RankCandidates(const AccountState& account,
                                      uint64_t salt,
                                      TimePoint now) {
  std::vector<Candidate> candidates;
  for (const auto& [id, estimate] : account.peers) {
    if (IsPending(account, id))
      continue;
    const size_t tie_break =
        std::hash<std::string>()(id.value() + std::to_string(salt));
    candidates.push_back(
        {id, ExpectedSpare(estimate, account.peer_share, now), tie_break});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.spare != b.spare ? a.spare > b.spare
                                        : a.tie_break < b.tie_break;
            });
  return candidates;
}

MicroTokens PendingTokens(const AccountState& account) {
  MicroTokens total = 0;
  for (const PendingLeaseRequest& pending : account.leases.pending)
    total += pending.wanted.tokens;
  return total;
}

MicroTokens PendingRate(const AccountState& account) {
  MicroTokens total = 0;
  for (const PendingLeaseRequest& pending : account.leases.pending) {
    if (!IsExtension(pending.wanted.id))
      total += pending.wanted.rate_per_s;
  }
  return total;
}

int64_t CountRateLeasesFrom(const AccountState& account,
                            const InstanceId& peer) {
  return std::count_if(
      account.leases.borrowed.begin(), account.leases.borrowed.end(),
      [&](const BorrowedLease& lease) {
        return lease.from == peer && lease.capacity.rate_per_s > 0;
      });
}

MicroTokens TokensToBorrow(const AccountState& account) {
  const auto waiting = static_cast<MicroTokens>(account.queue.waiting.size());
  const MicroTokens missing = waiting * kMicroTokensPerToken -
                              account.bucket.tokens - PendingTokens(account);
  const MicroTokens look_ahead =
      TokensIn(ExpectedRate(account.demand), kLookAheadTime);
  // Tokens from a pool are lost if they are not used during the lease, so only
  // whole ones are requested for the expected requests.
  return missing + (IsPooled(account)
                        ? look_ahead - look_ahead % kMicroTokensPerToken
                        : look_ahead);
}

/**
 * The peer that pools the shares: the one whose rate lease from this instance
 * has the largest burst. Null if no peer borrows rate.
 */
const InstanceId* FindPoolingPeer(const AccountState& account) {
  const GrantedLease* largest = nullptr;
  for (const GrantedLease& lease : account.leases.granted) {
    if (lease.capacity.rate_per_s > 0 &&
        (largest == nullptr || lease.capacity.burst > largest->capacity.burst))
      largest = &lease;
  }
  return largest == nullptr ? nullptr : &largest->to;
}

MicroTokens ReservedRate(const AccountState& account) {
  return IsPooled(account)
             ? 0
             : Percent(ExpectedRate(account.demand), kReservePercent);
}

PlannedRequest PlanTokenRequest(const InstanceId& peer,
                                const ClientAccountId& id,
                                MicroTokens tokens) {
  return {peer, {0, id, tokens, 0, tokens, kTokenLeaseDuration}};
}

}  // namespace

bool IsPooled(const AccountState& account) {
  return account.peer_share.burst < kMinUnpooledBurst;
}

bool ShouldPoolHere(const AccountState& account, TimePoint now) {
  return IsPooled(account) && account.pool_rank &&
         TotalGranted(account.leases).rate_per_s == 0 &&
         now - account.rate_lent_at >= kPoolTakeoverDelay * *account.pool_rank;
}

std::optional<int> PoolRank(const ClientAccountId& id,
                            const std::vector<Endpoint>& entry_addresses,
                            const Endpoint& own_address) {
  const auto weight = [&id](const Endpoint& address) {
    return std::hash<std::string>()(id.value() + " " + ToString(address));
  };
  if (std::find(entry_addresses.begin(), entry_addresses.end(), own_address) ==
      entry_addresses.end())
    return std::nullopt;
  const size_t own = weight(own_address);
  return static_cast<int>(
      std::count_if(entry_addresses.begin(), entry_addresses.end(),
                    [&](const Endpoint& a) { return weight(a) > own; }));
}

std::vector<PlannedRequest> PlanTokenLeases(const ClientAccountId& id,
                                            const AccountState& account,
                                            uint64_t salt,
                                            TimePoint now) {
  std::vector<PlannedRequest> planned;
  if (account.queue.waiting.empty())
    return planned;
  MicroTokens wanted = TokensToBorrow(account);
  const MicroTokens min_request = std::min(
      std::max(kMinRequestTokens,
               TokensIn(ExpectedRate(account.demand), kMinRequestTime)),
      account.peer_share.burst / 32);
  const InstanceId* pooling_peer =
      IsPooled(account) ? FindPoolingPeer(account) : nullptr;
  if (pooling_peer != nullptr && wanted > 0) {
    // The other peers lend their shares to the pool too and have less than a
    // token each, so only the pool is asked.
    if (!IsPending(account, *pooling_peer))
      planned.push_back(PlanTokenRequest(*pooling_peer, id, wanted));
    return planned;
  }
  for (const Candidate& peer : RankCandidates(account, salt, now)) {
    if (wanted <= 0 || peer.spare < min_request || peer.spare <= 0)
      break;
    const MicroTokens tokens = std::min(wanted, peer.spare);
    planned.push_back(PlanTokenRequest(peer.id, id, tokens));
    wanted -= tokens;
  }
  return planned;
}

std::vector<PlannedRequest> PlanRateLeases(const ClientAccountId& id,
                                           const AccountState& account,
                                           uint64_t salt,
                                           TimePoint now) {
  std::vector<PlannedRequest> planned;
  const RateAndBurst& share = account.peer_share;
  const bool should_pool = ShouldPoolHere(account, now);
  // An instance that pools the shares borrows all of them.
  const MicroTokens needed = should_pool ? account.fleet_limit.rate_per_s
                                         : ExpectedRate(account.demand);
  if (needed < kMinBorrowRate || share.rate_per_s <= 0 ||
      (IsPooled(account) && !should_pool))
    return planned;
  MicroTokens wanted = Percent(needed, kBorrowPercent) -
                       UsableCapacity(account).rate_per_s -
                       PendingRate(account);
  for (const Candidate& peer : RankCandidates(account, salt, now)) {
    if (wanted < share.rate_per_s / 4)
      break;
    if (now < account.peers.at(peer.id).next_rate_request ||
        CountRateLeasesFrom(account, peer.id) >= kMaxRateLeasesPerPeer)
      continue;
    // A whole share is requested, since extending many small leases takes many
    // messages.
    planned.push_back({peer.id,
                       {0, id, share.burst, share.rate_per_s, share.burst,
                        kLeaseMaxDuration}});
    wanted -= share.rate_per_s;
  }
  return planned;
}

std::vector<uint64_t> PlanReleases(const AccountState& account, TimePoint now) {
  std::vector<uint64_t> names;
  RateAndBurst capacity = UsableCapacity(account);
  const MicroTokens needed =
      ShouldPoolHere(account, now)
          ? account.fleet_limit.rate_per_s
          : Percent(ExpectedRate(account.demand), kReleasePercent);
  for (const BorrowedLease& lease : account.leases.borrowed) {
    // A lease without rate is kept while its tokens are unused, because they
    // would be lost.
    const MicroTokens burst_without = capacity.burst - lease.capacity.burst;
    const bool rate_needed =
        lease.capacity.rate_per_s > 0 &&
        capacity.rate_per_s - lease.capacity.rate_per_s < needed;
    const bool tokens_unused =
        lease.capacity.rate_per_s == 0 && account.bucket.tokens > burst_without;
    if (rate_needed || tokens_unused ||
        !CanRelease(account, LeaseName(lease.id)))
      continue;
    names.push_back(LeaseName(lease.id));
    capacity = Remaining(capacity, lease.capacity);
  }
  return names;
}

std::vector<uint64_t> PlanExtensions(const AccountState& account,
                                     TimePoint now) {
  std::vector<uint64_t> names;
  for (const BorrowedLease& lease : account.leases.borrowed) {
    if (lease.capacity.rate_per_s > 0 && lease.until - now < kExtendBeforeEnd &&
        !IsPending(account, lease.from))
      names.push_back(LeaseName(lease.id));
  }
  return names;
}

MicroTokens SpareTokens(const AccountState& account, TimePoint end) {
  if (!account.queue.waiting.empty())
    return 0;
  const MicroTokens reserved =
      TokensIn(ExpectedRate(account.demand), kTokenReserveTime);
  return std::max<MicroTokens>(0,
                               std::min(account.bucket.tokens - reserved,
                                        LendableCapacity(account, end).burst));
}

CapacityLease MakeOffer(const AccountState& account,
                        const CapacityLease& wanted,
                        TimePoint now) {
  const TimePoint end = now + wanted.duration + kLeaseMargin;
  CapacityLease offer = wanted;
  offer.tokens = std::min(wanted.tokens, SpareTokens(account, end));
  // A pool that cannot lend all that is wanted lends only whole tokens: the
  // borrower has no use for less than it needs for a request.
  if (IsPooled(account) && wanted.rate_per_s == 0 &&
      offer.tokens < wanted.tokens &&
      TotalBorrowed(account.leases).rate_per_s > 0)
    offer.tokens -= offer.tokens % kMicroTokensPerToken;
  offer.rate_per_s = 0;
  offer.burst = offer.tokens;
  const RateAndBurst lendable = LendableCapacity(account, end);
  const MicroTokens reserved = ReservedRate(account);
  // An instance that borrows rate lends no rate.
  if (wanted.rate_per_s <= 0 || lendable.rate_per_s <= reserved ||
      TotalBorrowed(account.leases).rate_per_s > 0)
    return offer;
  offer.rate_per_s =
      std::min(wanted.rate_per_s, lendable.rate_per_s - reserved);
  const auto burst =
      static_cast<MicroTokens>(static_cast<double>(lendable.burst) *
                               static_cast<double>(offer.rate_per_s) /
                               static_cast<double>(lendable.rate_per_s));
  offer.burst = std::min({wanted.burst, burst, lendable.burst});
  offer.tokens = std::min(offer.tokens, offer.burst);
  return offer;
}

bool CanExtend(const AccountState& account) {
  const RateAndBurst left = UsableCapacity(account);
  return Fits(TotalGranted(account.leases), account.own_share) &&
         (IsPooled(account) ||
          ExpectedRate(account.demand) <= Percent(left.rate_per_s, 130));
}

}  // namespace mangodoor
