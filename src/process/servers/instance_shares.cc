#include "process/servers/instance_shares.h"

#include <algorithm>

namespace mangodoor {
namespace {

// Callers with cached addresses still send requests to instances that are no
// longer advertised, though only to a few of them.
constexpr double kUnadvertisedShare = 0.5;

int CountIn(const std::map<DataCentreId, int>& counts,
            const DataCentreId& data_centre) {
  const auto found = counts.find(data_centre);
  return found == counts.end() ? 0 : found->second;
}

}  // namespace

bool operator==(const ShareCounts& a, const ShareCounts& b) {
  return a.instances == b.instances &&
         a.advertised_instances == b.advertised_instances &&
         a.all_instances == b.all_instances &&
         a.is_advertised == b.is_advertised;
}

bool operator!=(const ShareCounts& a, const ShareCounts& b) {
  return !(a == b);
}

ShareCounts CountsOf(const InstanceShares& shares,
                     const DataCentreId& data_centre) {
  return {CountIn(shares.instances, data_centre),
          CountIn(shares.advertised_instances, data_centre),
          TotalInstances(shares), shares.is_advertised};
}

int TotalInstances(const InstanceShares& shares) {
  int all = 0;
  for (const auto& [data_centre, count] : shares.instances)
    all += count;
  return std::max(1, all);
}

bool HasInstance(const InstanceShares& shares,
                 const DataCentreId& data_centre) {
  return CountIn(shares.instances, data_centre) > 0;
}

double OwnShare(const InstanceShares& shares, const DataCentreId& data_centre) {
  const int instances = CountIn(shares.instances, data_centre);
  const int advertised_instances =
      CountIn(shares.advertised_instances, data_centre);
  if (instances == 0)
    return 1.0 / TotalInstances(shares);
  if (advertised_instances == 0)
    return 1.0 / instances;
  return shares.is_advertised ? 1.0 / advertised_instances
                              : kUnadvertisedShare / instances;
}

}  // namespace mangodoor
