#include "process/accounts/usage_limiter.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace mangodoor {
namespace {

// Demands are averaged over this time. Shares follow where callers go within
// a few seconds, and do not follow single requests.
constexpr Duration kDemandTime = std::chrono::seconds(5);

constexpr Duration kLocalValid = std::chrono::seconds(2);
constexpr Duration kFleetValid = std::chrono::seconds(3);
// A data centre that cannot be heard may still admit its part.
constexpr Duration kRemoteValid = std::chrono::seconds(30);
constexpr Duration kInstancesValid = std::chrono::seconds(30);

// Part of the tolerated overage that the instances may use up between them.
// The rest covers shares that do not add up while reports are on their way.
constexpr double kOverageUsed = 0.6;

// Part of a data centre's share that its lead lends, for callers that come in
// clumps. The rest is at hand at each instance.
constexpr double kPooledPart = 0.6;

// An account with less than this for each instance is lent as a whole: parts
// of a token are of no use.
constexpr double kLeastAtHand = 4;

// A pool is filled up from another data centre when it runs low, though not so
// often that the bytes cost more than what is refused.
constexpr double kLowPool = 1.5;
constexpr double kKeptInPool = 2;
constexpr int kFillUpTokens = 2;
constexpr Duration kFillUpSpacing = std::chrono::milliseconds(200);
constexpr double kWithinRate = 0.95;

// Part of a share that is spread evenly, for callers that have just come.
constexpr double kEvenPart = 0.1;
// The same for the shares of data centres. The directory sends an account's
// callers to all of them, and the demand of a few seconds is a rough guess.
constexpr double kLocalEvenPart = 0.4;

// A process that starts anew may follow one that used its burst up.
constexpr double kFirstFill = 0.5;

// Less than one request in ten seconds is not worth a report.
constexpr double kLeastReported = 0.1;

double DemandAt(const UsageState& state, TimePoint now) {
  return state.demand_per_s *
         std::exp(-Seconds(now - state.demand_at) / Seconds(kDemandTime));
}

void CountRequest(UsageState& state, TimePoint now) {
  state.demand_per_s = DemandAt(state, now) + 1 / Seconds(kDemandTime);
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
 * The demand over the fleet, of which `part` is a part. Instances that are not
 * in the total may still admit their part.
 */
double ScaledTotal(const UsageLimiter& limiter,
                   const UsageState& state,
                   double part) {
  return std::max(state.fleet.per_s, part) *
         std::max(1.0, static_cast<double>(limiter.instances) /
                           std::max(1, limiter.fleet.instances));
}

/** Tolerated requests beyond rate and burst that may be used up. */
double Overage(const UsageLimiter& limiter, const UsageState& state) {
  const UsageTolerance& tolerance = limiter.tolerance;
  const double window =
      state.rate_per_s * Seconds(tolerance.window) + state.burst;
  return kOverageUsed * (tolerance.overage * window + tolerance.slack);
}

double PooledPart(const UsageLimiter& limiter, const UsageState& state) {
  const double each =
      (state.burst + Overage(limiter, state)) / limiter.instances;
  return each < kLeastAtHand ? 1 : kPooledPart;
}

/** Requests that this instance may admit at once without asking. */
double Cap(const UsageLimiter& limiter, const UsageState& state, double share) {
  return (1 - PooledPart(limiter, state)) *
         (state.burst * share + Overage(limiter, state) / limiter.instances);
}

void Refill(const UsageLimiter& limiter, UsageState& state, TimePoint now) {
  const double share = OwnShare(limiter, state, now);
  const double elapsed = std::max(0.0, Seconds(now - state.refilled_at));
  state.tokens =
      std::min(Cap(limiter, state, share),
               state.tokens + (1 - PooledPart(limiter, state)) *
                                  state.rate_per_s * share * elapsed);
  state.refilled_at = now;
}

/** The part of the rate that falls to this data centre, by its demand. */
double LocalShare(const UsageLimiter& limiter,
                  const UsageState& state,
                  TimePoint now) {
  const double even =
      static_cast<double>(LocalCovered(limiter, now)) / limiter.instances;
  if (now - state.fleet.at > kFleetValid || state.fleet.per_s <= 0)
    return even;
  const double local_demand =
      std::min(state.local_stated_per_s, state.local_stated_before_per_s);
  const double total = ScaledTotal(limiter, state, local_demand);
  return kLocalEvenPart * even + (1 - kLocalEvenPart) * local_demand / total;
}

void RefillPool(const UsageLimiter& limiter, UsageState& state, TimePoint now) {
  const double share = LocalShare(limiter, state, now);
  const double part = PooledPart(limiter, state);
  const double cap =
      part * (state.burst * share + Overage(limiter, state) *
                                        LocalCovered(limiter, now) /
                                        limiter.instances);
  const double elapsed = std::max(0.0, Seconds(now - state.pool_refilled_at));
  state.pool =
      std::min(cap, state.pool + part * state.rate_per_s * share * elapsed);
  state.pool_refilled_at = now;
}

void DropAccounts(UsageLimiter& limiter, const Version& version) {
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
  DropAccounts(limiter, version);
  for (const ClientAccount& account : version.document.client_accounts) {
    if (!account.limited)
      continue;
    const auto [entry, is_new] = limiter.accounts.try_emplace(account.id);
    UsageState& state = entry->second;
    if (!is_new)
      Refill(limiter, state, now);
    state.rate_per_s = account.rate_per_s;
    state.burst = static_cast<double>(account.burst);
    const double cap = Cap(limiter, state, OwnShare(limiter, state, now));
    if (is_new) {
      state.tokens = cap * kFirstFill;
      state.refilled_at = now;
      state.demand_at = now;
    }
    state.tokens = std::min(state.tokens, cap);
  }
}

void SetInstanceCount(UsageLimiter& limiter, int count, TimePoint now) {
  if (!limiter.instances_at)
    limiter.instances_at = now;
  if (count < limiter.instances &&
      now - *limiter.instances_at < kInstancesValid)
    return;
  limiter.instances = std::max(1, count);
  limiter.instances_at = now;
}

double OwnShare(const UsageLimiter& limiter,
                const UsageState& state,
                TimePoint now) {
  const double even = 1.0 / limiter.instances;
  if (now - state.fleet.at > kFleetValid || state.fleet.per_s <= 0)
    return even;
  // The total was summed up from what the instances stated some time before.
  // With the demand of this moment, a sudden rise everywhere would give every
  // instance more than its part of the old total.
  const double own = std::min(state.stated_per_s, state.stated_before_per_s);
  return kEvenPart * even +
         (1 - kEvenPart) * own / ScaledTotal(limiter, state, own);
}

void SetLeader(UsageLimiter& limiter, bool is_leader, TimePoint now) {
  if (!is_leader) {
    limiter.leader_since.reset();
    return;
  }
  if (limiter.leader_since)
    return;
  // The lead before may have lent everything, so the pools begin empty.
  limiter.leader_since = now;
  for (auto& [id, state] : limiter.accounts) {
    state.pool = 0;
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
  if (state.pool < 1)
    return false;
  state.pool -= 1;
  return true;
}

int TokensToRequest(UsageLimiter& limiter,
                    const ClientAccountId& account,
                    TimePoint now) {
  const auto found = limiter.accounts.find(account);
  if (found == limiter.accounts.end() || !limiter.leader_since)
    return 0;
  UsageState& state = found->second;
  // An account that asks for more than its rate has nothing to spare anywhere.
  const bool within_rate = now - state.fleet.at <= kFleetValid &&
                           state.fleet.per_s < kWithinRate * state.rate_per_s;
  if (!within_rate || state.pool >= kLowPool ||
      now - state.pool_requested_at < kFillUpSpacing)
    return 0;
  state.pool_requested_at = now;
  return kFillUpTokens;
}

int SpareTokens(UsageLimiter& limiter,
                const ClientAccountId& account,
                int wanted,
                TimePoint now) {
  const auto found = limiter.accounts.find(account);
  if (found == limiter.accounts.end() || !limiter.leader_since)
    return 0;
  UsageState& state = found->second;
  RefillPool(limiter, state, now);
  const int spare = std::clamp(static_cast<int>(state.pool - kKeptInPool), 0,
                               std::max(0, wanted));
  state.pool -= spare;
  return spare;
}

void AddToPool(UsageLimiter& limiter,
               const ClientAccountId& account,
               int tokens) {
  const auto found = limiter.accounts.find(account);
  if (found != limiter.accounts.end() && limiter.leader_since)
    found->second.pool += tokens;
}

void RecordPeerUsage(UsageLimiter& limiter,
                     const InstanceId& from,
                     const DataCentreId& data_centre,
                     bool own_data_centre,
                     const FleetHeartbeat& heartbeat,
                     TimePoint now) {
  if (own_data_centre)
    limiter.local_heard[from] = now;
  else if (heartbeat.scope == UsageScope::kDataCentre)
    limiter.remote_coverage[data_centre] = {heartbeat.covered, now};
  if (own_data_centre && heartbeat.scope == UsageScope::kFleet)
    limiter.fleet = {heartbeat.covered, now};
  for (const AccountUsage& usage : heartbeat.usage) {
    const auto found = limiter.accounts.find(usage.client_account);
    if (found == limiter.accounts.end())
      continue;
    UsageState& state = found->second;
    const ReportedDemand demand{usage.demand_per_s, now};
    if (!own_data_centre) {
      if (heartbeat.scope == UsageScope::kDataCentre)
        state.remote_demand[data_centre] = demand;
    } else if (heartbeat.scope == UsageScope::kFleet) {
      state.fleet = demand;
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
      limiter.fleet = {heartbeat.covered, now};
      break;
  }
  for (auto& [id, state] : limiter.accounts) {
    const double own = DemandAt(state, now);
    double demand = own;
    if (heartbeat.scope == UsageScope::kDataCentre) {
      demand = LocalDemand(state, now);
      state.local_stated_before_per_s =
          std::exchange(state.local_stated_per_s, demand);
    } else {
      state.stated_before_per_s = std::exchange(state.stated_per_s, own);
    }
    if (heartbeat.scope == UsageScope::kFleet) {
      demand = FleetDemand(state, now);
      state.fleet = {demand, now};
    }
    if (demand >= kLeastReported)
      heartbeat.usage.push_back({id, demand, own});
  }
}

}  // namespace mangodoor
