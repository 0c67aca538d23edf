#ifndef PROCESS_FLEET_LINK_PLAN_H_
#define PROCESS_FLEET_LINK_PLAN_H_

#include <vector>

#include "process/fleet/member_list.h"
#include "process/membership/membership.h"

namespace mangodoor {

/**
 * Instances that this one keeps a link to: the hubs of its data centre; for
 * the lead also the leads of the other data centres; seeds that are not yet
 * known to run; and instances that went away a short time ago and may be back.
 * Each instance has a bounded number of links, whatever the size of the fleet.
 */
std::vector<Instance> PlanLinks(const MemberList& member_list,
                                const std::vector<Endpoint>& seeds,
                                TimePoint now);

/** True if the link to `peer` stays within the data centre. */
bool IsInOwnDataCentre(const MemberList& member_list, const InstanceId& peer);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_LINK_PLAN_H_
