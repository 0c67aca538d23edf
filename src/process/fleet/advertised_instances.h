#ifndef PROCESS_FLEET_ADVERTISED_INSTANCES_H_
#define PROCESS_FLEET_ADVERTISED_INSTANCES_H_

#include <map>
#include <vector>

#include "process/fleet/member.h"

namespace mangodoor {

/**
 * The instances of a data centre that callers are sent to, the strongest
 * first: as few as can bear its calls with room to spare, and at least two.
 * The fewer they are, the more each one knows of what the servers do.
 */
std::vector<const Member*> SelectAdvertisedInstances(
    const std::vector<Member>& live,
    const DataCentreId& data_centre,
    double calls_per_s);

/** Calls that a data centre is to be able to take. */
double CallsPerDataCentre(const std::vector<Member>& live,
                          double fleet_calls_per_s,
                          double server_slots);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_ADVERTISED_INSTANCES_H_
