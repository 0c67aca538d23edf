#include "process/accounts/lease_policy.h"

#include <algorithm>
#include <functional>

namespace mangodoor {
namespace {

// Tokens are requested also for the requests that arrive in this time, so that
// the number of messages does not grow with the rate.
constexpr Duration kLookAhead = std::chrono::milliseconds(30);

// A lender keeps the tokens that its own callers use in this time.
constexpr Duration kReserve = std::chrono::milliseconds(20);

// Leases are extended this long before their end: three attempts fit in,
// and what is pooled can be lent on all the time.
constexpr Duration kExtendBefore = std::chrono::milliseconds(350);

// Below this rate (micro-tokens a second) a steady demand cannot be told from
// single requests, and tokens alone are borrowed.
constexpr MicroTokens kLeastRate = 4 * kMicroTokensPerToken;

// Percentages of the expected rate of callers. The borrower asks for more than
// it expects; the gap between asking and releasing stops back and forth.
constexpr int64_t kProvidePercent = 110;
constexpr int64_t kReleasePercent = 130;
constexpr int64_t kKeepPercent = 110;

// Requests for less than this part of a token, or of a share, cost more
// messages than they are worth.
constexpr MicroTokens kLeastTokens = kMicroTokensPerToken / 4;

// A second lease from one peer takes up what it could not lend at first.
constexpr int64_t kMaxRateLeasesPerPeer = 2;
constexpr Duration kLeast = std::chrono::milliseconds(2);

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
  size_t order = 0;
};

bool IsPending(const AccountState& account, const InstanceId& peer) {
  return std::any_of(
      account.leases.pending.begin(), account.leases.pending.end(),
      [&](const PendingLease& pending) { return pending.to == peer; });
}

/** Peers without a request under way, those with most to spare first. */
std::vector<Candidate> Candidates(const AccountState& account,
                                  uint64_t salt,
                                  TimePoint now) {
  std::vector<Candidate> candidates;
  for (const auto& [id, estimate] : account.peers) {
    if (IsPending(account, id))
      continue;
    const size_t order =
        std::hash<std::string>()(id.value() + std::to_string(salt));
    candidates.push_back(
        {id, ExpectedSpare(estimate, account.peer_share, now), order});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return a.spare != b.spare ? a.spare > b.spare : a.order < b.order;
            });
  return candidates;
}

MicroTokens PendingTokens(const AccountState& account) {
  MicroTokens total = 0;
  for (const PendingLease& pending : account.leases.pending)
    total += pending.wanted.tokens;
  return total;
}

MicroTokens PendingRate(const AccountState& account) {
  MicroTokens total = 0;
  for (const PendingLease& pending : account.leases.pending) {
    if (!IsExtension(pending.wanted.id))
      total += pending.wanted.rate_per_s;
  }
  return total;
}

int64_t RateLeasesFrom(const AccountState& account, const InstanceId& peer) {
  return std::count_if(account.leases.taken.begin(), account.leases.taken.end(),
                       [&](const TakenLease& lease) {
                         return lease.from == peer &&
                                lease.capacity.rate_per_s > 0;
                       });
}

MicroTokens WantedTokens(const AccountState& account) {
  const auto waiting = static_cast<MicroTokens>(account.queue.waiting.size());
  const MicroTokens missing = waiting * kMicroTokensPerToken -
                              account.bucket.tokens - PendingTokens(account);
  const MicroTokens ahead = TokensIn(ExpectedRate(account.demand), kLookAhead);
  // Tokens from a pool are lost if they are not used within the lease, so only
  // whole ones that are expected soon come along.
  return missing +
         (IsPooled(account) ? ahead - ahead % kMicroTokensPerToken : ahead);
}

/** The peer that pools the shares; null if it is not known. */
const InstanceId* PoolOf(const AccountState& account) {
  const GivenLease* largest = nullptr;
  for (const GivenLease& lease : account.leases.given) {
    if (lease.capacity.rate_per_s > 0 &&
        (largest == nullptr || lease.capacity.burst > largest->capacity.burst))
      largest = &lease;
  }
  return largest == nullptr ? nullptr : &largest->to;
}

MicroTokens KeptRate(const AccountState& account) {
  return IsPooled(account)
             ? 0
             : Percent(ExpectedRate(account.demand), kKeepPercent);
}

LeaseWish TokenWish(const InstanceId& peer,
                    const ClientAccountId& id,
                    MicroTokens tokens) {
  return {peer, {0, id, tokens, 0, tokens, kTokenLeaseDuration}};
}

}  // namespace

bool IsPooled(const AccountState& account) {
  return account.peer_share.burst < kPooledBurst;
}

bool PoolsHere(const AccountState& account, TimePoint now) {
  return IsPooled(account) && account.pool_rank &&
         TotalGiven(account.leases).rate_per_s == 0 &&
         now - account.rate_lent_at >= kPoolTakeOver * *account.pool_rank;
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

std::vector<LeaseWish> PlanTokenLeases(const ClientAccountId& id,
                                       const AccountState& account,
                                       uint64_t salt,
                                       TimePoint now) {
  std::vector<LeaseWish> wishes;
  if (account.queue.waiting.empty())
    return wishes;
  MicroTokens wanted = WantedTokens(account);
  const MicroTokens least = std::min(
      std::max(kLeastTokens, TokensIn(ExpectedRate(account.demand), kLeast)),
      account.peer_share.burst / 32);
  const InstanceId* pool = IsPooled(account) ? PoolOf(account) : nullptr;
  if (pool != nullptr && wanted > 0) {
    // What others have is less than a token; only the pool is asked.
    if (!IsPending(account, *pool))
      wishes.push_back(TokenWish(*pool, id, wanted));
    return wishes;
  }
  for (const Candidate& peer : Candidates(account, salt, now)) {
    if (wanted <= 0 || peer.spare < least || peer.spare <= 0)
      break;
    const MicroTokens tokens = std::min(wanted, peer.spare);
    wishes.push_back(TokenWish(peer.id, id, tokens));
    wanted -= tokens;
  }
  return wishes;
}

std::vector<LeaseWish> PlanRateLeases(const ClientAccountId& id,
                                      const AccountState& account,
                                      uint64_t salt,
                                      TimePoint now) {
  std::vector<LeaseWish> wishes;
  const Share& share = account.peer_share;
  const bool pools = PoolsHere(account, now);
  // Who pools wants all of the other shares.
  const MicroTokens needed =
      pools ? account.fleet.rate_per_s : ExpectedRate(account.demand);
  if (needed < kLeastRate || share.rate_per_s <= 0 ||
      (IsPooled(account) && !pools))
    return wishes;
  MicroTokens wanted = Percent(needed, kProvidePercent) -
                       Capacity(account).rate_per_s - PendingRate(account);
  for (const Candidate& peer : Candidates(account, salt, now)) {
    if (wanted < share.rate_per_s / 4)
      break;
    if (now < account.peers.at(peer.id).rate_not_before ||
        RateLeasesFrom(account, peer.id) >= kMaxRateLeasesPerPeer)
      continue;
    // A whole share, since many small leases take many messages to extend.
    wishes.push_back({peer.id,
                      {0, id, share.burst, share.rate_per_s, share.burst,
                       kLeaseMaxDuration}});
    wanted -= share.rate_per_s;
  }
  return wishes;
}

std::vector<uint64_t> PlanReleases(const AccountState& account, TimePoint now) {
  std::vector<uint64_t> names;
  Share capacity = Capacity(account);
  const MicroTokens needed =
      PoolsHere(account, now)
          ? account.fleet.rate_per_s
          : Percent(ExpectedRate(account.demand), kReleasePercent);
  for (const TakenLease& lease : account.leases.taken) {
    // A lease whose tokens are not used up stays, they would be lost.
    const MicroTokens burst_without = capacity.burst - lease.capacity.burst;
    const bool rate_needed =
        lease.capacity.rate_per_s > 0 &&
        capacity.rate_per_s - lease.capacity.rate_per_s < needed;
    const bool tokens_unused =
        lease.capacity.rate_per_s == 0 && account.bucket.tokens > burst_without;
    if (rate_needed || tokens_unused ||
        !MayRelease(account, LeaseName(lease.id)))
      continue;
    names.push_back(LeaseName(lease.id));
    capacity = Remaining(capacity, lease.capacity);
  }
  return names;
}

std::vector<uint64_t> PlanExtensions(const AccountState& account,
                                     TimePoint now) {
  std::vector<uint64_t> names;
  for (const TakenLease& lease : account.leases.taken) {
    if (lease.capacity.rate_per_s > 0 && lease.until - now < kExtendBefore &&
        !IsPending(account, lease.from))
      names.push_back(LeaseName(lease.id));
  }
  return names;
}

MicroTokens SpareTokens(const AccountState& account, TimePoint end) {
  if (!account.queue.waiting.empty())
    return 0;
  const MicroTokens kept = TokensIn(ExpectedRate(account.demand), kReserve);
  return std::max<MicroTokens>(
      0, std::min(account.bucket.tokens - kept, Lendable(account, end).burst));
}

CapacityLease OfferFor(const AccountState& account,
                       const CapacityLease& wanted,
                       TimePoint now) {
  const TimePoint end = now + wanted.duration + kLeaseMargin;
  CapacityLease offer = wanted;
  offer.tokens = std::min(wanted.tokens, SpareTokens(account, end));
  // A part of what is missing for one request is of no use to the borrower.
  if (IsPooled(account) && wanted.rate_per_s == 0 &&
      offer.tokens < wanted.tokens && TotalTaken(account.leases).rate_per_s > 0)
    offer.tokens -= offer.tokens % kMicroTokensPerToken;
  offer.rate_per_s = 0;
  offer.burst = offer.tokens;
  const Share lendable = Lendable(account, end);
  const MicroTokens kept = KeptRate(account);
  // Who borrows rate has none to lend.
  if (wanted.rate_per_s <= 0 || lendable.rate_per_s <= kept ||
      TotalTaken(account.leases).rate_per_s > 0)
    return offer;
  offer.rate_per_s = std::min(wanted.rate_per_s, lendable.rate_per_s - kept);
  const auto burst =
      static_cast<MicroTokens>(static_cast<double>(lendable.burst) *
                               static_cast<double>(offer.rate_per_s) /
                               static_cast<double>(lendable.rate_per_s));
  offer.burst = std::min({wanted.burst, burst, lendable.burst});
  offer.tokens = std::min(offer.tokens, offer.burst);
  return offer;
}

bool MayExtend(const AccountState& account) {
  const Share left = Capacity(account);
  return Fits(TotalGiven(account.leases), account.own) &&
         (IsPooled(account) ||
          ExpectedRate(account.demand) <= Percent(left.rate_per_s, 130));
}

}  // namespace mangodoor
