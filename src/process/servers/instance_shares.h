#ifndef PROCESS_SERVERS_INSTANCE_SHARES_H_
#define PROCESS_SERVERS_INSTANCE_SHARES_H_

#include <map>
#include <set>

#include "process/clock.h"
#include "version/ids.h"

namespace mangodoor {

/**
 * This instance's shares, from 0 to 1, of the requests that cold servers may
 * get; 0 without a grant of the leader of its data centre.
 */
struct ColdShares {
  /**
   * Part of the limits that the leader granted to all instances of the data
   * centre together; 0 without a grant.
   */
  double granted = 0;
  /** Share of the servers of its own data centre. */
  double own_data_centre = 0;
  /** Share of the servers of each of `unattended`. */
  double elsewhere = 0;
  /** Data centres that have servers and no running instance. */
  std::set<DataCentreId> unattended;
  /**
   * From 0 to 1, another one at each instance: spreads what all of them would
   * send at the same time.
   */
  double phase = 0;
  /** The shares may not be used from this time on. */
  TimePoint until{};
};

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
  ColdShares cold;
};

/** What this instance knows of the sharers of the servers of a data centre. */
struct ShareCounts {
  /** Running instances of the data centre. */
  int instances = 0;
  /** Those of them whose addresses are advertised. */
  int advertised_instances = 0;
  /** Running instances of the fleet. */
  int all_instances = 0;
  /** True if this instance is advertised, in whichever data centre it is. */
  bool is_advertised = false;
  /** ColdShares::granted. */
  double granted = 0;
};

bool operator==(const ShareCounts& a, const ShareCounts& b);
bool operator!=(const ShareCounts& a, const ShareCounts& b);

ShareCounts CountsOf(const InstanceShares& shares,
                     const DataCentreId& data_centre);

/** Instances that divide something among them. */
struct Sharers {
  int instances = 0;
  int advertised_instances = 0;
};

/** The part of one of the sharers; all parts add up to at most 1.5. */
double PartOf(const Sharers& sharers, bool is_advertised);

/** Number of running instances in the fleet, at least 1. */
int TotalInstances(const InstanceShares& shares);

/**
 * This instance's share of the probe budget of a server in the data centre,
 * from 0 to 1; `is_local` if that is its own. The shares of the instances of
 * the data centre add up to at most 1.5, those of all others to half of that.
 */
double ProbeShare(const InstanceShares& shares,
                  const DataCentreId& data_centre,
                  bool is_local);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_INSTANCE_SHARES_H_
