#ifndef PROCESS_MEMBERSHIP_FLEET_REACHABILITY_H_
#define PROCESS_MEMBERSHIP_FLEET_REACHABILITY_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "process/membership/membership.h"
#include "process/membership/peer_view.h"

namespace mangodoor {

using PeerViews = std::unordered_map<InstanceId, PeerView>;

/** How much of the fleet an instance can reach. */
struct FleetReachability {
  /** The platform's list has been read and contains this instance. */
  bool listed = false;
  /** `listed` is true, and the list contains no other live instance. */
  bool alone = false;
  /**
   * The latest time such that half of the expected instances, this one counted
   * too, were heard from at that time or later.
   */
  std::optional<TimePoint> half_fleet_heard_at;
  /** At least half of the expected instances are reachable now. */
  bool half_fleet_reachable = false;
  /** A reachable peer is in service, or was until its planned stop. */
  bool serving_peer = false;
};

/**
 * Summarises which peers are reachable. `expected` are the other live instances
 * that should send heartbeats to this one: all listed ones, or its selected
 * peers in a large fleet.
 */
FleetReachability SummariseReachability(const Instance& self,
                                        const InstanceList& list,
                                        const std::vector<Instance>& expected,
                                        const PeerViews& peers,
                                        TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_FLEET_REACHABILITY_H_
