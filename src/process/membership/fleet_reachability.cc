#include "process/membership/fleet_reachability.h"

#include <algorithm>
#include <functional>

namespace mangodoor {
namespace {

// This instance is part of the fleet, and its own entry is always `now`.
std::optional<TimePoint> HalfFleetHeardAt(const std::vector<Instance>& expected,
                                          const PeerViews& peers,
                                          TimePoint now) {
  std::vector<TimePoint> heard{now};
  for (const Instance& instance : expected) {
    const auto found = peers.find(instance.id);
    if (found != peers.end() && found->second.last_heard)
      heard.push_back(*found->second.last_heard);
  }
  const size_t needed = (expected.size() + 2) / 2;
  if (heard.size() < needed)
    return std::nullopt;
  std::sort(heard.begin(), heard.end(), std::greater<>());
  return heard[needed - 1];
}

}  // namespace

FleetReachability SummariseReachability(const Instance& self,
                                        const InstanceList& list,
                                        const std::vector<Instance>& expected,
                                        const PeerViews& peers,
                                        TimePoint now) {
  FleetReachability reachability;
  bool others = false;
  for (const Instance& instance : list.instances) {
    reachability.listed = reachability.listed || instance.id == self.id;
    others = others || (instance.id != self.id && !instance.leaving);
  }
  reachability.alone = reachability.listed && !others;
  // Without a list, "half of the fleet" would be this instance alone.
  if (!list.instances.empty())
    reachability.half_fleet_heard_at = HalfFleetHeardAt(expected, peers, now);
  reachability.half_fleet_reachable =
      reachability.half_fleet_heard_at &&
      now - *reachability.half_fleet_heard_at <= kReachableFor;
  for (const auto& [id, view] : peers) {
    reachability.serving_peer =
        reachability.serving_peer ||
        (IsReachable(view, now) && view.state != InstanceState::kJoining);
  }
  return reachability;
}

}  // namespace mangodoor
