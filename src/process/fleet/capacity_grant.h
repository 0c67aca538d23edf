#ifndef PROCESS_FLEET_CAPACITY_GRANT_H_
#define PROCESS_FLEET_CAPACITY_GRANT_H_

#include <optional>
#include <set>

#include "process/fleet/fleet_table.h"

namespace mangodoor {

/** Time for which an instance may use a grant after it was received. */
constexpr Duration kGrantValid = std::chrono::seconds(2);

/** What the leader needs to know besides the members to make a grant. */
struct GrantInputs {
  /** Requests a second that each data centre should be able to handle. */
  double requests_per_s = 0;
  /** Data centres that have servers. */
  std::set<DataCentreId> server_data_centres;
};

/**
 * Makes or renews the grant if this instance is the leader of its data centre
 * and no other leader's grant can still be in use. To be called on each tick.
 */
void RenewGrant(FleetTable& table, const GrantInputs& inputs, TimePoint now);

/**
 * Records what a heartbeat says of grants. Only a grant of the leader counts.
 */
void RecordGrant(FleetTable& table,
                 const InstanceId& from,
                 const FleetHeartbeat& heartbeat,
                 TimePoint now);

/** Fills in a heartbeat to this instance's data centre. */
void FillGrant(const FleetTable& table,
               FleetHeartbeat& heartbeat,
               TimePoint now);

/** The grant that may be used now, if there is one. */
std::optional<HeldGrant> CurrentGrant(const FleetTable& table, TimePoint now);

/**
 * The instance's share, from 0 to 1, of what a grant allows. The shares of all
 * instances add up to at most 1.5.
 */
double ShareOf(const CapacityGrant& grant, const InstanceId& instance);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_CAPACITY_GRANT_H_
