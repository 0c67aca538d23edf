#ifndef PROCESS_FLEET_CAPACITY_SHARES_H_
#define PROCESS_FLEET_CAPACITY_SHARES_H_

#include <optional>

#include "process/fleet/fleet_table.h"
#include "process/servers/instance_shares.h"

namespace mangodoor {

/**
 * The instances among which the capacity of the servers is divided, as this
 * instance sees the fleet, and its shares of cold servers by `grant`.
 * `requests_per_s` is the rate that each data centre should be able to handle.
 */
InstanceShares ComputeInstanceShares(const FleetView& view,
                                     const std::optional<HeldGrant>& grant,
                                     double requests_per_s);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_CAPACITY_SHARES_H_
