#include "process/fleet/capacity_shares.h"

#include <algorithm>

#include "process/fleet/advertised_instances.h"

namespace mangodoor {

InstanceShares ComputeInstanceShares(const FleetView& view,
                                     double requests_per_s) {
  InstanceShares shares;
  for (const Member& member : view.live) {
    if (member.id == view.self.id)
      shares.phase = shares.instances[member.data_centre];
    ++shares.instances[member.data_centre];
  }
  shares.phase /= std::max(1, shares.instances[view.self.data_centre]);
  for (const auto& [data_centre, count] : shares.instances) {
    const auto advertised_instances =
        SelectAdvertisedInstances(view.live, data_centre, requests_per_s);
    shares.advertised_instances[data_centre] =
        static_cast<int>(advertised_instances.size());
    for (const Member* advertised_instance : advertised_instances)
      shares.is_advertised |= advertised_instance->id == view.self.id;
  }
  return shares;
}

}  // namespace mangodoor
