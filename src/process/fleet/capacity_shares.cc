#include "process/fleet/capacity_shares.h"

#include <algorithm>
#include <cmath>
#include <limits>

#include "process/fleet/advertised_instances.h"
#include "process/fleet/capacity_grant.h"
#include "process/membership/rendezvous.h"

namespace mangodoor {
namespace {

/** From 0 to 1, the same for the same name at every instance. */
double HashOf(const DataCentreId& data_centre, const InstanceId& id) {
  const uint64_t score = RendezvousScore(data_centre.value(), id.value());
  return static_cast<double>(score) /
         static_cast<double>(std::numeric_limits<uint64_t>::max());
}

/**
 * Advertised instances, which have most of the share, are spread evenly; their
 * leader decides where they begin, so that groups that are cut off from each
 * other differ. For the other instances, their id decides.
 */
double PhaseOf(const HeldGrant& held, const Member& member) {
  const auto& advertised = held.grant.advertised;
  const auto own = std::find(advertised.begin(), advertised.end(), member.id);
  if (own == advertised.end())
    return HashOf(member.data_centre, member.id);
  const double index = static_cast<double>(own - advertised.begin()) /
                       static_cast<double>(advertised.size());
  return std::fmod(HashOf(member.data_centre, held.leader) + index, 1);
}

ColdShares ColdSharesOf(const HeldGrant& held, const Member& member) {
  const CapacityGrant& grant = held.grant;
  ColdShares shares;
  shares.granted = grant.part;
  shares.own_data_centre = ShareOf(grant, member.id);
  // All data centres divide half of the limit of a server elsewhere. The other
  // half is left to instances there that may run unseen.
  shares.elsewhere = shares.own_data_centre / (2 * grant.data_centres);
  shares.unattended.insert(grant.unattended.begin(), grant.unattended.end());
  shares.phase = PhaseOf(held, member);
  shares.until = held.until;
  return shares;
}

}  // namespace

InstanceShares ComputeInstanceShares(const FleetView& view,
                                     const std::optional<HeldGrant>& grant,
                                     double requests_per_s) {
  InstanceShares shares;
  if (grant)
    shares.cold = ColdSharesOf(*grant, view.self);
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
