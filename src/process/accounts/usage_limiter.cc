#include "process/accounts/usage_limiter.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace mangodoor {
namespace {

// Time constant of the average demand. Shares follow within a few seconds when
// callers move to other instances, and do not follow single requests.
constexpr Duration kDemandAverageTime = std::chrono::seconds(5);

// How long reports of demand are used.
constexpr Duration kLocalValid = std::chrono::seconds(2);
constexpr Duration kFleetValid = std::chrono::seconds(3);
// This is longer, because a data centre that cannot be reached can still admit
// its share.
constexpr Duration kRemoteValid = std::chrono::seconds(30);

// Fraction of the tolerated overage that the instances can use together. The
// rest covers shares that add up to more than 1 while reports are under way.
constexpr double kUsableOveragePart = 0.6;

// Fraction of a data centre's share that its leader lends, for uneven arrivals.
// The rest is in the buckets of the instances.
constexpr double kPooledPart = 0.6;

// If burst and usable overage come to fewer tokens per instance than this, the
// leader lends the whole share and the instances' buckets get none of it,
// because fractions of a token are of no use there.
constexpr double kMinTokensPerInstance = 4;

// A pool is refilled from another data centre when it runs low, but not so
// often that the messages cost more than the refusals that they prevent.
constexpr double kLowPoolTokens = 1.5;
constexpr double kPoolReserveTokens = 2;
constexpr int kRefillTokens = 2;
constexpr Duration kMinRefillInterval = std::chrono::milliseconds(200);
constexpr double kWithinRatePart = 0.95;

// Fraction of the rate that is split evenly among the instances, for callers
// that have just arrived.
constexpr double kEvenPart = 0.1;
// The same fraction for the shares of data centres. It is larger, because the
// directory of addresses sends callers of an account to all of them, and a few
// seconds of demand give only a rough estimate.
constexpr double kLocalEvenPart = 0.4;

// The bucket of an account that is new to this process starts with this
// fraction of its capacity, because the previous process may have used up the
// burst.
constexpr double kInitialFillPart = 0.5;

// Demand below one request in 10 s is not worth reporting.
constexpr double kMinReportedPerS = 0.1;

double DemandAt(const UsageState& state, TimePoint now) {
  return state.demand_per_s * std::exp(-Seconds(now - state.demand_at) /
                                       Seconds(kDemandAverageTime));
}

void CountRequest(UsageState& state, TimePoint now) {
  state.demand_per_s = DemandAt(state, now) + 1 / Seconds(kDemandAverageTime);
  state.demand_at = now;
}

double LocalDemand(const UsageState& state, TimePoint now) {
  double sum = DemandAt(state, now);
  for (const auto& [id, demand] : state.local_demand) {
    if (now - demand.at <= kLocalValid)
      sum += demand.per_s;
  }
  return sum;
}

double FleetDemand(const UsageState& state, TimePoint now) {
  double sum = LocalDemand(state, now);
  for (const auto& [id, demand] : state.remote_demand) {
    if (now - demand.at <= kRemoteValid)
      sum += demand.per_s;
  }
  return sum;
}

int LocalCovered(const UsageLimiter& limiter, TimePoint now) {
  int covered = 1;
  for (const auto& [id, at] : limiter.local_heard)
    covered += now - at <= kLocalValid ? 1 : 0;
  return covered;
}

int FleetCovered(const UsageLimiter& limiter, TimePoint now) {
  int covered = LocalCovered(limiter, now);
  for (const auto& [id, coverage] : limiter.remote_coverage)
    covered += now - coverage.at <= kRemoteValid ? coverage.instances : 0;
  return covered;
}

/**
 * The demand over the fleet, at least `min_per_s`. It is scaled up for
 * instances that the report does not cover, because they can still admit their
 * share.
 */
double ScaledFleetDemand(const UsageLimiter& limiter,
                         const UsageState& state,
                         double min_per_s) {
  return std::max(state.fleet_demand.per_s, min_per_s) *
         std::max(1.0, static_cast<double>(limiter.instances.count) /
                           std::max(1, limiter.fleet_coverage.instances));
}

/** Requests beyond rate and burst that the instances can use together. */
double UsableOverage(const UsageLimiter& limiter, const UsageState& state) {
  const UsageTolerance& tolerance = limiter.tolerance;
  const double allowed =
      state.rate_per_s * Seconds(tolerance.window) + state.burst;
  return kUsableOveragePart * (tolerance.overage * allowed + tolerance.slack);
}

double PooledPart(const UsageLimiter& limiter, const UsageState& state) {
  const double each =
      (state.burst + UsableOverage(limiter, state)) / limiter.instances.count;
  return each < kMinTokensPerInstance ? 1 : kPooledPart;
}

/** Largest number of tokens in this instance's bucket. */
double BucketCap(const UsageLimiter& limiter,
                 const UsageState& state,
                 double share) {
  return (1 - PooledPart(limiter, state)) *
         (state.burst * share +
          UsableOverage(limiter, state) / limiter.instances.count);
}

void Refill(const UsageLimiter& limiter, UsageState& state, TimePoint now) {
  const double share = OwnShare(limiter, state, now);
  const double elapsed = std::max(0.0, Seconds(now - state.refilled_at));
  state.tokens =
      std::min(BucketCap(limiter, state, share),
               state.tokens + (1 - PooledPart(limiter, state)) *
                                  state.rate_per_s * share * elapsed);
  state.refilled_at = now;
}

/** This data centre's share of the rate, mostly in proportion to demand. */
double LocalShare(const UsageLimiter& limiter,
                  const UsageState& state,
                  TimePoint now) {
  const double even =
      static_cast<double>(LocalCovered(limiter, now)) / limiter.instances.count;
  if (now - state.fleet_demand.at > kFleetValid ||
      state.fleet_demand.per_s <= 0)
    return even;
  const double local_demand =
      std::min(state.local_reported_per_s, state.local_previous_reported_per_s);
  const double total = ScaledFleetDemand(limiter, state, local_demand);
  return kLocalEvenPart * even + (1 - kLocalEvenPart) * local_demand / total;
}

void RefillPool(const UsageLimiter& limiter, UsageState& state, TimePoint now) {
  const double share = LocalShare(limiter, state, now);
  const double part = PooledPart(limiter, state);
  const double cap =
      part * (state.burst * share + UsableOverage(limiter, state) *
                                        LocalCovered(limiter, now) /
                                        limiter.instances.count);
  const double elapsed = std::max(0.0, Seconds(now - state.pool_refilled_at));
  state.pool_tokens = std::min(
      cap, state.pool_tokens + part * state.rate_per_s * share * elapsed);
  state.pool_refilled_at = now;
}

void DropUnlimitedAccounts(UsageLimiter& limiter, const Version& version) {
  std::unordered_set<ClientAccountId> limited;
  for (const ClientAccount& account : version.document.client_accounts) {
    if (account.limited)
      limited.insert(account.id);
  }
  for (auto it = limiter.accounts.begin(); it != limiter.accounts.end();)
    it = limited.count(it->first) > 0 ? std::next(it)
                                      : limiter.accounts.erase(it);
}

}  // namespace

void AdoptAccounts(UsageLimiter& limiter,
                   const Version& version,
                   TimePoint now) {
  DropUnlimitedAccounts(limiter, version);
  for (const ClientAccount& account : version.document.client_accounts) {
    if (!account.limited)
      continue;
    const auto [entry, is_new] = limiter.accounts.try_emplace(account.id);
    UsageState& state = entry->second;
    if (!is_new)
      Refill(limiter, state, now);
    state.rate_per_s = account.rate_per_s;
    state.burst = static_cast<double>(account.burst);
    const double cap = BucketCap(limiter, state, OwnShare(limiter, state, now));
    if (is_new) {
      state.tokens = cap * kInitialFillPart;
      state.refilled_at = now;
      state.demand_at = now;
    }
    state.tokens = std::min(state.tokens, cap);
  }
}

double OwnShare(const UsageLimiter& limiter,
                const UsageState& state,
                TimePoint now) {
  const double even = 1.0 / limiter.instances.count;
  if (now - state.fleet_demand.at > kFleetValid ||
      state.fleet_demand.per_s <= 0)
    return even;
  // The total sums up what the instances reported some time ago. If the present
  // demand were compared to it, a sudden rise everywhere would give each
  // instance more than its share.
  const double own =
      std::min(state.reported_per_s, state.previous_reported_per_s);
  return kEvenPart * even +
         (1 - kEvenPart) * own / ScaledFleetDemand(limiter, state, own);
}

void SetLeader(UsageLimiter& limiter, bool is_leader, TimePoint now) {
  if (!is_leader) {
    limiter.leader_since.reset();
    return;
  }
  if (limiter.leader_since)
    return;
  // The previous leader may have lent all tokens, so the pools start empty.
  limiter.leader_since = now;
  for (auto& [id, state] : limiter.accounts) {
    state.pool_tokens = 0;
    state.pool_refilled_at = now;
  }
}

UsageDecision AdmitUsage(UsageLimiter& limiter,
                         const ClientAccountId& account,
                         TimePoint now) {
  const auto found = limiter.accounts.find(account);
  if (found == limiter.accounts.end())
    return {};
  UsageState& state = found->second;
  CountRequest(state, now);
  Refill(limiter, state, now);
  if (state.tokens >= 1) {
    state.tokens -= 1;
    ++state.admitted;
    return {};
  }
  const double per_s = state.rate_per_s * OwnShare(limiter, state, now);
  const double wait_s = (1 - state.tokens) / std::max(per_s, 0.01);
  UsageDecision decision;
  decision.retry_after = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(wait_s));
  decision.state = UsageDecision::State::kAskLeader;
  if (!limiter.leader_since)
    return decision;
  const bool lent = LendToken(limiter, account, now);
  FinishTokenRequest(limiter, account, lent);
  decision.state =
      lent ? UsageDecision::State::kAdmitted : UsageDecision::State::kRefused;
  return decision;
}

void FinishTokenRequest(UsageLimiter& limiter,
                        const ClientAccountId& account,
                        bool granted) {
  const auto found = limiter.accounts.find(account);
  if (found == limiter.accounts.end())
    return;
  ++(granted ? found->second.admitted : found->second.refused);
}

bool LendToken(UsageLimiter& limiter,
               const ClientAccountId& account,
               TimePoint now) {
  const auto found = limiter.accounts.find(account);
  if (found == limiter.accounts.end() || !limiter.leader_since)
    return false;
  UsageState& state = found->second;
  RefillPool(limiter, state, now);
  if (state.pool_tokens < 1)
    return false;
  state.pool_tokens -= 1;
  return true;
}

int TokensToRequest(UsageLimiter& limiter,
                    const ClientAccountId& account,
                    TimePoint now) {
  const auto found = limiter.accounts.find(account);
  if (found == limiter.accounts.end() || !limiter.leader_since)
    return 0;
  UsageState& state = found->second;
  // If the demand reaches the rate, no data centre has tokens to spare.
  const bool within_rate =
      now - state.fleet_demand.at <= kFleetValid &&
      state.fleet_demand.per_s < kWithinRatePart * state.rate_per_s;
  if (!within_rate || state.pool_tokens >= kLowPoolTokens ||
      now - state.pool_requested_at < kMinRefillInterval)
    return 0;
  state.pool_requested_at = now;
  return kRefillTokens;
}

int TakeSpareTokens(UsageLimiter& limiter,
                    const ClientAccountId& account,
                    int wanted,
                    TimePoint now) {
  const auto found = limiter.accounts.find(account);
  if (found == limiter.accounts.end() || !limiter.leader_since)
    return 0;
  UsageState& state = found->second;
  RefillPool(limiter, state, now);
  const int spare =
      std::clamp(static_cast<int>(state.pool_tokens - kPoolReserveTokens), 0,
                 std::max(0, wanted));
  state.pool_tokens -= spare;
  return spare;
}

void AddToPool(UsageLimiter& limiter,
               const ClientAccountId& account,
               int tokens) {
  const auto found = limiter.accounts.find(account);
  if (found != limiter.accounts.end() && limiter.leader_since)
    found->second.pool_tokens += tokens;
}

void RecordPeerUsage(UsageLimiter& limiter,
                     const InstanceId& from,
                     const DataCentreId& data_centre,
                     bool is_local,
                     const FleetHeartbeat& heartbeat,
                     TimePoint now) {
  if (is_local)
    limiter.local_heard[from] = now;
  else if (heartbeat.scope == UsageScope::kDataCentre)
    limiter.remote_coverage[data_centre] = {heartbeat.covered, now};
  if (is_local && heartbeat.scope == UsageScope::kFleet)
    limiter.fleet_coverage = {heartbeat.covered, now};
  for (const AccountUsage& usage : heartbeat.usage) {
    const auto found = limiter.accounts.find(usage.client_account);
    if (found == limiter.accounts.end())
      continue;
    UsageState& state = found->second;
    const ReportedDemand demand{usage.demand_per_s, now};
    if (!is_local) {
      if (heartbeat.scope == UsageScope::kDataCentre)
        state.remote_demand[data_centre] = demand;
    } else if (heartbeat.scope == UsageScope::kFleet) {
      state.fleet_demand = demand;
      state.local_demand[from] = {usage.own_per_s, now};
    } else if (heartbeat.scope == UsageScope::kInstance) {
      state.local_demand[from] = demand;
    }
  }
}

void FillUsage(UsageLimiter& limiter,
               FleetHeartbeat& heartbeat,
               TimePoint now) {
  switch (heartbeat.scope) {
    case UsageScope::kInstance:
      heartbeat.covered = 1;
      break;
    case UsageScope::kDataCentre:
      heartbeat.covered = LocalCovered(limiter, now);
      break;
    case UsageScope::kFleet:
      heartbeat.covered = FleetCovered(limiter, now);
      limiter.fleet_coverage = {heartbeat.covered, now};
      break;
  }
  for (auto& [id, state] : limiter.accounts) {
    const double own = DemandAt(state, now);
    double demand = own;
    if (heartbeat.scope == UsageScope::kDataCentre) {
      demand = LocalDemand(state, now);
      state.local_previous_reported_per_s =
          std::exchange(state.local_reported_per_s, demand);
    } else {
      state.previous_reported_per_s = std::exchange(state.reported_per_s, own);
    }
    if (heartbeat.scope == UsageScope::kFleet) {
      demand = FleetDemand(state, now);
      state.fleet_demand = {demand, now};
    }
    if (demand >= kMinReportedPerS)
      heartbeat.usage.push_back({id, demand, own});
  }
}

}  // namespace mangodoor
