#include "process/accounts/usage_book.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace mangodoor {
namespace {

// Demands are averaged over this time. Shares follow where callers go within
// a few seconds, and do not follow single requests.
constexpr Duration kDemandTime = std::chrono::seconds(3);

constexpr Duration kNearValid = std::chrono::seconds(2);
constexpr Duration kFleetValid = std::chrono::seconds(3);
// A data centre that cannot be heard may still admit its part.
constexpr Duration kFarValid = std::chrono::seconds(30);
constexpr Duration kInstancesValid = std::chrono::seconds(30);

// Part of the tolerated overage that the instances may use up between them.
// The rest covers shares that do not add up while reports are on their way.
constexpr double kOverageUsed = 0.5;

// Part of a share that is spread evenly, for callers that have just come.
constexpr double kEvenPart = 0.1;

// A process that starts anew may follow one that used its burst up.
constexpr double kFirstFill = 0.5;

// Less than one request in ten seconds is not worth a report.
constexpr double kLeastReported = 0.1;

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double DemandAt(const UsageState& state, TimePoint now) {
  return state.demand_per_s *
         std::exp(-Seconds(now - state.demand_at) / Seconds(kDemandTime));
}

void CountRequest(UsageState& state, TimePoint now) {
  state.demand_per_s = DemandAt(state, now) + 1 / Seconds(kDemandTime);
  state.demand_at = now;
}

double NearDemand(const UsageState& state, TimePoint now) {
  double sum = DemandAt(state, now);
  for (const auto& [id, demand] : state.near) {
    if (now - demand.at <= kNearValid)
      sum += demand.per_s;
  }
  return sum;
}

double FleetDemand(const UsageState& state, TimePoint now) {
  double sum = NearDemand(state, now);
  for (const auto& [id, demand] : state.far) {
    if (now - demand.at <= kFarValid)
      sum += demand.per_s;
  }
  return sum;
}

int NearCovered(const UsageBook& book, TimePoint now) {
  int covered = 1;
  for (const auto& [id, at] : book.near_heard)
    covered += now - at <= kNearValid ? 1 : 0;
  return covered;
}

int FleetCovered(const UsageBook& book, TimePoint now) {
  int covered = NearCovered(book, now);
  for (const auto& [id, coverage] : book.far_heard)
    covered += now - coverage.at <= kFarValid ? coverage.instances : 0;
  return covered;
}

/** Requests that this instance may admit at once. */
double Cap(const UsageBook& book, const UsageState& state, double share) {
  const UsageTolerance& tolerance = book.tolerance;
  const double window =
      state.rate_per_s * Seconds(tolerance.window) + state.burst;
  const double overage =
      kOverageUsed * (tolerance.overage * window + tolerance.slack);
  return std::max(state.burst * share + overage / book.instances, 1.0);
}

void Refill(const UsageBook& book, UsageState& state, TimePoint now) {
  const double share = OwnShare(book, state, now);
  const double elapsed = std::max(0.0, Seconds(now - state.refilled_at));
  state.tokens = std::min(Cap(book, state, share),
                          state.tokens + state.rate_per_s * share * elapsed);
  state.refilled_at = now;
}

void DropAccounts(UsageBook& book, const Version& version) {
  std::unordered_set<ClientAccountId> limited;
  for (const ClientAccount& account : version.document.client_accounts) {
    if (account.limited)
      limited.insert(account.id);
  }
  for (auto it = book.accounts.begin(); it != book.accounts.end();)
    it = limited.count(it->first) > 0 ? std::next(it) : book.accounts.erase(it);
}

}  // namespace

void AdoptAccounts(UsageBook& book, const Version& version, TimePoint now) {
  DropAccounts(book, version);
  for (const ClientAccount& account : version.document.client_accounts) {
    if (!account.limited)
      continue;
    const auto [entry, is_new] = book.accounts.try_emplace(account.id);
    UsageState& state = entry->second;
    if (!is_new)
      Refill(book, state, now);
    state.rate_per_s = account.rate_per_s;
    state.burst = static_cast<double>(account.burst);
    const double cap = Cap(book, state, OwnShare(book, state, now));
    if (is_new) {
      state.tokens = cap * kFirstFill;
      state.refilled_at = now;
      state.demand_at = now;
    }
    state.tokens = std::min(state.tokens, cap);
  }
}

void NoteInstances(UsageBook& book, int count, TimePoint now) {
  if (!book.instances_at)
    book.instances_at = now;
  if (count < book.instances && now - *book.instances_at < kInstancesValid)
    return;
  book.instances = std::max(1, count);
  book.instances_at = now;
}

double OwnShare(const UsageBook& book, const UsageState& state, TimePoint now) {
  const double even = 1.0 / book.instances;
  if (now - state.fleet.at > kFleetValid || state.fleet.per_s <= 0)
    return even;
  // The total was summed up from what the instances stated some time before.
  // With the demand of this moment, a sudden rise everywhere would give every
  // instance more than its part of the old total.
  const double own = std::min(state.stated_per_s, state.stated_before_per_s);
  // Instances that are not in the total may still admit their part.
  const double total = std::max(state.fleet.per_s, own) *
                       std::max(1.0, static_cast<double>(book.instances) /
                                         std::max(1, book.fleet.instances));
  return kEvenPart * even + (1 - kEvenPart) * own / total;
}

UsageDecision AdmitUsage(UsageBook& book,
                         const ClientAccountId& account,
                         TimePoint now) {
  const auto found = book.accounts.find(account);
  if (found == book.accounts.end())
    return {};
  UsageState& state = found->second;
  CountRequest(state, now);
  Refill(book, state, now);
  if (state.tokens >= 1) {
    state.tokens -= 1;
    ++state.admitted;
    return {};
  }
  ++state.refused;
  const double per_s = state.rate_per_s * OwnShare(book, state, now);
  const double wait_s = (1 - state.tokens) / std::max(per_s, 0.01);
  return {false, std::chrono::duration_cast<Duration>(
                     std::chrono::duration<double>(wait_s))};
}

void HearUsage(UsageBook& book,
               const InstanceId& from,
               const DataCentreId& data_centre,
               bool own_data_centre,
               const MemberBeat& beat,
               TimePoint now) {
  if (own_data_centre)
    book.near_heard[from] = now;
  else if (beat.scope == UsageScope::kDataCentre)
    book.far_heard[data_centre] = {beat.covered, now};
  if (own_data_centre && beat.scope == UsageScope::kFleet)
    book.fleet = {beat.covered, now};
  for (const AccountUsage& usage : beat.usage) {
    const auto found = book.accounts.find(usage.client_account);
    if (found == book.accounts.end())
      continue;
    UsageState& state = found->second;
    const ReportedDemand demand{usage.demand_per_s, now};
    if (!own_data_centre) {
      if (beat.scope == UsageScope::kDataCentre)
        state.far[data_centre] = demand;
    } else if (beat.scope == UsageScope::kFleet) {
      state.fleet = demand;
      state.near[from] = {usage.own_per_s, now};
    } else if (beat.scope == UsageScope::kInstance) {
      state.near[from] = demand;
    }
  }
}

void StateUsage(UsageBook& book, MemberBeat& beat, TimePoint now) {
  switch (beat.scope) {
    case UsageScope::kInstance:
      beat.covered = 1;
      break;
    case UsageScope::kDataCentre:
      beat.covered = NearCovered(book, now);
      break;
    case UsageScope::kFleet:
      beat.covered = FleetCovered(book, now);
      book.fleet = {beat.covered, now};
      break;
  }
  for (auto& [id, state] : book.accounts) {
    const double own = DemandAt(state, now);
    double demand = own;
    if (beat.scope == UsageScope::kDataCentre) {
      demand = NearDemand(state, now);
    } else {
      state.stated_before_per_s = std::exchange(state.stated_per_s, own);
    }
    if (beat.scope == UsageScope::kFleet) {
      demand = FleetDemand(state, now);
      state.fleet = {demand, now};
    }
    if (demand >= kLeastReported)
      beat.usage.push_back({id, demand, own});
  }
}

}  // namespace mangodoor
