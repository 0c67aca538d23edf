#ifndef PROCESS_FLEET_ADVERTISED_INSTANCES_H_
#define PROCESS_FLEET_ADVERTISED_INSTANCES_H_

#include <map>
#include <vector>

#include "process/fleet/member.h"

namespace mangodoor {

/**
 * Selects the instances of a data centre that callers are sent to, those with
 * the most processor time first: as few as can handle `requests_per_s` with
 * headroom, but at least two if there are two. With fewer instances, each sees
 * more requests and can assess the backend servers better.
 */
std::vector<const Member*> SelectAdvertisedInstances(
    const std::vector<Member>& live,
    const DataCentreId& data_centre,
    double requests_per_s);

/** Requests a second that each data centre should be able to handle. */
double RequestRatePerDataCentre(const std::vector<Member>& live,
                                double fleet_requests_per_s,
                                double server_slots);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_ADVERTISED_INSTANCES_H_
