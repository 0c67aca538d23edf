#ifndef PROCESS_SERVERS_INSTANCE_SHARES_H_
#define PROCESS_SERVERS_INSTANCE_SHARES_H_

#include <map>

#include "version/ids.h"

namespace mangodoor {

/** Instances among which the capacity of the servers is divided. */
struct InstanceShares {
  /** Running instances of each data centre. */
  std::map<DataCentreId, int> instances;
  /**
   * Running instances of each data centre whose addresses are advertised to
   * callers.
   */
  std::map<DataCentreId, int> advertised_instances;
  /** True if this instance is one of the advertised instances. */
  bool is_advertised = false;
  /**
   * From 0 to 1, and another one at each instance of the data centre: spreads
   * what all of them would do at the same time.
   */
  double phase = 0;
};

/** The counts that OwnShare() uses for servers of one data centre. */
struct ShareCounts {
  /** Running instances of the data centre. */
  int instances = 0;
  /** Those of them whose addresses are advertised. */
  int advertised_instances = 0;
  /** Running instances of the fleet. */
  int all_instances = 0;
  /** True if this instance is advertised, in whichever data centre it is. */
  bool is_advertised = false;
};

bool operator==(const ShareCounts& a, const ShareCounts& b);
bool operator!=(const ShareCounts& a, const ShareCounts& b);

ShareCounts CountsOf(const InstanceShares& shares,
                     const DataCentreId& data_centre);

/** Number of running instances in the fleet, at least 1. */
int TotalInstances(const InstanceShares& shares);

/** True if the data centre has a running instance. */
bool HasInstance(const InstanceShares& shares, const DataCentreId& data_centre);

/**
 * This instance's share of the capacity of a server in the data centre, from 0
 * to 1. The shares of all instances of the data centre add up to at most 1.5.
 */
double OwnShare(const InstanceShares& shares, const DataCentreId& data_centre);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_INSTANCE_SHARES_H_
