#ifndef PROCESS_FLEET_LINK_PLAN_H_
#define PROCESS_FLEET_LINK_PLAN_H_

#include <vector>

#include "process/fleet/member_list.h"
#include "process/membership/membership.h"

namespace mangodoor {

/**
 * Instances that this one keeps a link to: the hubs of its data centre, and
 * seeds that are not known to run. The leader also links to the leaders of the
 * other data centres, and to instances that were declared gone a short time ago
 * and might have been restarted. Only hubs have more links in a larger fleet,
 * since every instance of their data centre links to them.
 */
std::vector<Instance> PlanLinks(const MemberList& member_list,
                                const std::vector<Endpoint>& seeds,
                                TimePoint now);

/** True if `peer` is known to be in this instance's data centre. */
bool IsInOwnDataCentre(const MemberList& member_list, const InstanceId& peer);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_LINK_PLAN_H_
