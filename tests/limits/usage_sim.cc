#include "limits/usage_sim.h"

#include <algorithm>
#include <string>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTickInterval = milliseconds(10);
constexpr Duration kHeartbeatInterval = milliseconds(1000);

const ClientAccountId shop_account("shop");

InstanceId IdOf(size_t index) {
  return InstanceId("i" + std::to_string(index));
}

DataCentreId DataCentreOf(int data_centre) {
  return DataCentreId("d" + std::to_string(data_centre));
}

}  // namespace

UsageSim::UsageSim(int data_centres,
                   int instances_each,
                   double rate_per_s,
                   double burst) {
  for (int d = 0; d < data_centres; ++d) {
    for (int i = 0; i < instances_each; ++i) {
      Instance instance;
      instance.data_centre = d;
      instances_.push_back(instance);
    }
  }
  SetRate(rate_per_s, burst);
}

void UsageSim::SetRate(double rate_per_s, double burst) {
  Document document;
  document.client_accounts = {
      {shop_account, rate_per_s, static_cast<int64_t>(burst), 1}};
  version_ = MakeVersion(document, "", "");
  for (Instance& instance : instances_)
    Adopt(instance);
}

void UsageSim::Adopt(Instance& instance) {
  instance.limiter.tolerance = {std::chrono::seconds(5), 0.25, 20};
  RecordInstanceCount(instance.limiter.instances, KnownTo(instance), now_);
  AdoptAccounts(instance.limiter, *version_, now_);
}

void UsageSim::SetDemand(int instance, double per_s) {
  instances_.at(static_cast<size_t>(instance)).demand_per_s = per_s;
}

void UsageSim::SetDemandEverywhere(double per_s) {
  for (Instance& instance : instances_)
    instance.demand_per_s = per_s;
}

void UsageSim::SetCut(int instance, bool cut) {
  instances_.at(static_cast<size_t>(instance)).cut = cut;
}

void UsageSim::SetCutEverywhere(bool cut) {
  for (Instance& instance : instances_)
    instance.cut = cut;
}

void UsageSim::Restart(int instance) {
  Instance& one = instances_.at(static_cast<size_t>(instance));
  one.limiter = UsageLimiter();
  one.has_joined = false;
  Adopt(one);
}

int UsageSim::KnownTo(const Instance& instance) const {
  return instance.cut && !instance.has_joined ? kAssumedInstances : size();
}

/** An instance that is cut off is its own leader. */
UsageSim::Instance& UsageSim::LeaderOf(Instance& instance) {
  if (instance.cut)
    return instance;
  return *std::find_if(
      instances_.begin(), instances_.end(), [&instance](const Instance& other) {
        return !other.cut && other.data_centre == instance.data_centre;
      });
}

bool UsageSim::AskLeader(Instance& instance) {
  Instance& leader = LeaderOf(instance);
  const bool lent = LendToken(leader.limiter, shop_account, now_);
  RefillPool(leader);
  return lent;
}

void UsageSim::RefillPool(Instance& leader) {
  const int wanted = TokensToRequest(leader.limiter, shop_account, now_);
  if (wanted == 0 || leader.cut)
    return;
  std::vector<Instance*> others;
  for (Instance& instance : instances_) {
    if (&LeaderOf(instance) == &instance && &instance != &leader &&
        !instance.cut)
      others.push_back(&instance);
  }
  if (others.empty())
    return;
  Instance& other = *others[random_() % others.size()];
  AddToPool(leader.limiter, shop_account,
            TakeSpareTokens(other.limiter, shop_account, wanted, now_));
}

void UsageSim::OfferRequests(Instance& instance) {
  const double expected = instance.demand_per_s *
                          std::chrono::duration<double>(kTickInterval).count();
  const int count = std::poisson_distribution<int>(expected)(random_);
  for (int i = 0; i < count; ++i) {
    ++offered_;
    UsageDecision decision = AdmitUsage(instance.limiter, shop_account, now_);
    if (decision.state == UsageDecision::State::kAskLeader &&
        AskLeader(instance))
      decision.state = UsageDecision::State::kAdmitted;
    if (decision.state == UsageDecision::State::kAdmitted)
      admitted_.push_back(now_);
    else
      ++refused_;
  }
}

// Heartbeats are sent in this order: by each instance to its data centre, by
// the leaders to the other data centres, and by each leader to its data centre.
// The leader is the first instance of its data centre that is not cut off.
void UsageSim::ExchangeHeartbeats() {
  struct Sent {
    size_t from;
    FleetHeartbeat heartbeat;
  };
  for (const UsageScope scope :
       {UsageScope::kInstance, UsageScope::kDataCentre, UsageScope::kFleet}) {
    std::vector<Sent> sent;
    std::vector<bool> leader_seen(instances_.size());
    for (size_t i = 0; i < instances_.size(); ++i) {
      const auto data_centre = static_cast<size_t>(instances_[i].data_centre);
      const bool is_leader = !leader_seen[data_centre] && !instances_[i].cut;
      leader_seen[data_centre] = leader_seen[data_centre] || is_leader;
      if (instances_[i].cut || (scope != UsageScope::kInstance && !is_leader))
        continue;
      FleetHeartbeat heartbeat;
      heartbeat.scope = scope;
      FillUsage(instances_[i].limiter, heartbeat, now_);
      sent.push_back({i, heartbeat});
    }
    for (const Sent& one : sent) {
      for (size_t to = 0; to < instances_.size(); ++to) {
        const int from_data_centre = instances_[one.from].data_centre;
        const bool is_local = from_data_centre == instances_[to].data_centre;
        if (to == one.from || instances_[to].cut ||
            is_local == (scope == UsageScope::kDataCentre))
          continue;
        RecordPeerUsage(instances_[to].limiter, IdOf(one.from),
                        DataCentreOf(from_data_centre), is_local, one.heartbeat,
                        now_);
      }
    }
  }
}

void UsageSim::RunFor(Duration duration) {
  const TimePoint end = now_ + duration;
  while (now_ < end) {
    now_ += kTickInterval;
    for (Instance& instance : instances_) {
      instance.has_joined = instance.has_joined || !instance.cut;
      RecordInstanceCount(instance.limiter.instances, KnownTo(instance), now_);
      SetLeader(instance.limiter, &LeaderOf(instance) == &instance, now_);
      OfferRequests(instance);
    }
    if (now_ >= next_heartbeat_) {
      ExchangeHeartbeats();
      next_heartbeat_ = now_ + kHeartbeatInterval;
    }
  }
}

size_t UsageSim::MaxAdmitted(Duration window) const {
  size_t most = 0;
  auto first = admitted_.begin();
  for (auto last = admitted_.begin(); last != admitted_.end(); ++last) {
    while (*last - *first >= window)
      ++first;
    most = std::max(most, static_cast<size_t>(last - first) + 1);
  }
  return most;
}

void UsageSim::ResetCounts() {
  admitted_.clear();
  offered_ = 0;
  refused_ = 0;
}

}  // namespace mangodoor
