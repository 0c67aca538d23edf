#include "process/servers/instance_shares.h"

#include <algorithm>
#include <numeric>

namespace mangodoor {
namespace {

// Callers with cached addresses still send requests to instances that are no
// longer advertised, though only to a few of them.
constexpr double kUnadvertisedShare = 0.5;

// Part of the probe budget of a server for the instances of other data centres.
constexpr double kRemoteProbePart = 0.5;

int CountIn(const std::map<DataCentreId, int>& counts,
            const DataCentreId& data_centre) {
  const auto found = counts.find(data_centre);
  return found == counts.end() ? 0 : found->second;
}

int Sum(const std::map<DataCentreId, int>& counts) {
  return std::accumulate(
      counts.begin(), counts.end(), 0,
      [](int sum, const auto& entry) { return sum + entry.second; });
}

}  // namespace

double PartOf(const Sharers& sharers, bool is_advertised) {
  const int instances = std::max(1, sharers.instances);
  if (sharers.advertised_instances == 0)
    return 1.0 / instances;
  return is_advertised ? 1.0 / sharers.advertised_instances
                       : kUnadvertisedShare / instances;
}

bool operator==(const ShareCounts& a, const ShareCounts& b) {
  return a.instances == b.instances &&
         a.advertised_instances == b.advertised_instances &&
         a.all_instances == b.all_instances &&
         a.is_advertised == b.is_advertised && a.granted == b.granted;
}

bool operator!=(const ShareCounts& a, const ShareCounts& b) {
  return !(a == b);
}

ShareCounts CountsOf(const InstanceShares& shares,
                     const DataCentreId& data_centre) {
  return {CountIn(shares.instances, data_centre),
          CountIn(shares.advertised_instances, data_centre),
          TotalInstances(shares), shares.is_advertised, shares.cold.granted};
}

int TotalInstances(const InstanceShares& shares) {
  return std::max(1, Sum(shares.instances));
}

// Instances of other data centres probe a server only for requests that are
// nearly late, or if their own data centre has no usable server.
double ProbeShare(const InstanceShares& shares,
                  const DataCentreId& data_centre,
                  bool is_local) {
  const int instances = CountIn(shares.instances, data_centre);
  const int advertised_instances =
      CountIn(shares.advertised_instances, data_centre);
  if (is_local)
    return PartOf({instances, advertised_instances}, shares.is_advertised);
  const double remote_part = instances > 0 ? kRemoteProbePart : 1;
  return remote_part *
         PartOf({Sum(shares.instances) - instances,
                 Sum(shares.advertised_instances) - advertised_instances},
                shares.is_advertised);
}

}  // namespace mangodoor
