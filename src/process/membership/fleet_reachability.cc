#include "process/membership/fleet_reachability.h"

#include <algorithm>
#include <functional>

namespace mangodoor {
namespace {

// Latest time since which half of the fleet has been heard from. This instance
// counts as one that is always heard from.
std::optional<TimePoint> HalfHeard(const std::vector<Instance>& expected,
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
    reachability.half_heard = HalfHeard(expected, peers, now);
  reachability.half_reachable = reachability.half_heard &&
                                now - *reachability.half_heard <= kReachableFor;
  for (const auto& [id, view] : peers) {
    reachability.serving_peer =
        reachability.serving_peer ||
        (IsReachable(view, now) && view.state != InstanceState::kJoining);
  }
  return reachability;
}

}  // namespace mangodoor
