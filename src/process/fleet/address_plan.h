#ifndef PROCESS_FLEET_ADDRESS_PLAN_H_
#define PROCESS_FLEET_ADDRESS_PLAN_H_

#include <map>
#include <string_view>
#include <vector>

#include "process/fleet/advertised_instances.h"
#include "process/fleet/member.h"

namespace mangodoor {

/** What decides which addresses a caller is told to use. */
struct AddressInputs {
  /** Instances that are known to run. */
  std::vector<Member> live;
  DataCentreId own_data_centre;
  /** Slots in each data centre of servers that may run the caller's calls. */
  std::map<DataCentreId, double> capacity;
  /** Calls that a data centre is to be able to take. */
  double calls_per_s = 0;
  /** What the caller will call. */
  std::string_view subject;
  /** Tells callers apart. */
  std::string_view caller;
};

/**
 * Chooses the addresses for one caller. Callers are spread over the data
 * centres as their servers can bear it, since the way from the caller costs
 * the same to all of them and the way from an instance to a server does not.
 * Answers are stable: the same caller is sent elsewhere only for a reason.
 */
std::vector<Endpoint> PlanAddresses(const AddressInputs& inputs);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_ADDRESS_PLAN_H_
