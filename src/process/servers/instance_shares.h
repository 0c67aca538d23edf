#ifndef PROCESS_SERVERS_INSTANCE_SHARES_H_
#define PROCESS_SERVERS_INSTANCE_SHARES_H_

#include <map>

#include "version/ids.h"

namespace mangodoor {

/** The instances that share what the servers bear. */
struct InstanceShares {
  /** Instances of each data centre that run. */
  std::map<DataCentreId, int> instances;
  /** Those of them that callers are sent to. */
  std::map<DataCentreId, int> advertised_instances;
  /** This instance is one of the takers. */
  bool is_advertised = false;
};

/** Instances of the fleet, at least one. */
int TotalInstances(const InstanceShares& shares);

/** True if any instance of the data centre runs. */
bool HasInstance(const InstanceShares& shares, const DataCentreId& data_centre);

/**
 * This instance's part of what a server of the data centre bears, from 0 to 1.
 * The parts of all instances there add up to 1.5 at most.
 */
double OwnShare(const InstanceShares& shares, const DataCentreId& data_centre);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_INSTANCE_SHARES_H_
