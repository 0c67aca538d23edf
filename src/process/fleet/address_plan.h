#ifndef PROCESS_FLEET_ADDRESS_PLAN_H_
#define PROCESS_FLEET_ADDRESS_PLAN_H_

#include <map>
#include <string_view>
#include <vector>

#include "process/fleet/advertised_instances.h"
#include "process/fleet/member.h"

namespace mangodoor {

/** Inputs for the choice of the addresses that a caller is to use. */
struct AddressInputs {
  /** Instances that are not known to be gone, this one included. */
  std::vector<Member> live;
  DataCentreId own_data_centre;
  /**
   * Request slots, by data centre, of the backend servers that can run the
   * caller's requests.
   */
  std::map<DataCentreId, double> capacity;
  /** Requests a second that each data centre should be able to handle. */
  double requests_per_s = 0;
  /** Host that the caller wants to send requests to. */
  std::string_view requested_host;
  /** Identifies the caller. */
  std::string_view caller;
};

/**
 * Chooses the addresses for one caller. Callers are distributed over the data
 * centres in proportion to `capacity`: a caller reaches every data centre at
 * the same cost, but an instance does not reach every backend server at the
 * same cost. The result is stable: it changes for a caller only if the
 * advertised instances or the capacities change.
 */
std::vector<Endpoint> PlanAddresses(const AddressInputs& inputs);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_ADDRESS_PLAN_H_
