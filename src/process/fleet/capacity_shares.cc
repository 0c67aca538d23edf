#include "process/fleet/capacity_shares.h"

#include <limits>

#include "process/fleet/advertised_instances.h"
#include "process/fleet/capacity_grant.h"
#include "process/membership/rendezvous.h"

namespace mangodoor {
namespace {

ColdShares ColdSharesOf(const CapacityGrant& grant,
                        const InstanceId& instance) {
  ColdShares shares;
  shares.granted = grant.part;
  shares.own_data_centre = ShareOf(grant, instance);
  // All data centres divide the servers of one without instances.
  shares.elsewhere = shares.own_data_centre / grant.data_centres;
  shares.unattended.insert(grant.unattended.begin(), grant.unattended.end());
  return shares;
}

double PhaseOf(const Member& member) {
  const uint64_t score =
      RendezvousScore(member.data_centre.value(), member.id.value());
  return static_cast<double>(score) /
         static_cast<double>(std::numeric_limits<uint64_t>::max());
}

}  // namespace

InstanceShares ComputeInstanceShares(const FleetView& view,
                                     const std::optional<CapacityGrant>& grant,
                                     double requests_per_s) {
  InstanceShares shares;
  shares.phase = PhaseOf(view.self);
  if (grant)
    shares.cold = ColdSharesOf(*grant, view.self.id);
  for (const Member& member : view.live)
    ++shares.instances[member.data_centre];
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
