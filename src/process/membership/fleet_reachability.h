#ifndef PROCESS_MEMBERSHIP_FLEET_REACHABILITY_H_
#define PROCESS_MEMBERSHIP_FLEET_REACHABILITY_H_

#include <optional>
#include <unordered_map>
#include <vector>

#include "process/membership/membership.h"
#include "process/membership/peer_view.h"

namespace mangodoor {

using PeerViews = std::unordered_map<InstanceId, PeerView>;

/** Which part of the fleet an instance is in contact with. */
struct FleetReachability {
  /** The platform's list was read, and names this instance. */
  bool listed = false;
  /** It names no other live instance. */
  bool alone = false;
  /** Latest time at which half of the expected instances were heard. */
  std::optional<TimePoint> half_heard;
  /** At least half of them are reachable now. */
  bool half_reachable = false;
  /** A reachable peer is, or until its planned stop was, in service. */
  bool serving_peer = false;
};

/**
 * Summarises contact. `expected` are the live instances, other than this one,
 * that it should hear: all listed ones, or its selected peers in a large fleet.
 */
FleetReachability SummariseReachability(const Instance& self,
                                        const InstanceList& list,
                                        const std::vector<Instance>& expected,
                                        const PeerViews& peers,
                                        TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_FLEET_REACHABILITY_H_
