#include "process/fleet/advertised_instances.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "process/membership/rendezvous.h"

namespace mangodoor {
namespace {

// With two, callers have another instance if one fails.
constexpr size_t kMinAdvertisedInstances = 2;

// Thousandths of a core for each request a second, including its share of the
// probes, heartbeats and logs.
constexpr double kMillicoresPerRequestPerS = 1;

// Bursts arrive before the measured rate shows them, and callers cache
// addresses, so they are not moved to other instances at once.
constexpr double kHeadroomFactor = 3;

// Lower bound of the request rate for each slot of the backend servers, for
// when no requests have been counted yet, such as after a start of the fleet.
constexpr double kAssumedRequestsPerSPerSlot = 1;

}  // namespace

std::vector<const Member*> SelectAdvertisedInstances(
    const std::vector<Member>& live,
    const DataCentreId& data_centre,
    double requests_per_s) {
  std::vector<std::pair<uint64_t, const Member*>> serving;
  const std::string salt = data_centre.value() + "|calls";
  for (const Member& member : live) {
    if (member.data_centre == data_centre &&
        member.state == MemberState::kServing)
      serving.emplace_back(RendezvousScore(salt, member.id.value()), &member);
  }
  std::sort(serving.begin(), serving.end(), [](const auto& a, const auto& b) {
    return a.second->millicores != b.second->millicores
               ? a.second->millicores > b.second->millicores
               : a.first > b.first;
  });
  const double needed =
      requests_per_s * kMillicoresPerRequestPerS * kHeadroomFactor;
  std::vector<const Member*> advertised_instances;
  double millicores = 0;
  for (const auto& [score, member] : serving) {
    if (advertised_instances.size() >= kMinAdvertisedInstances &&
        millicores >= needed)
      break;
    advertised_instances.push_back(member);
    millicores += member->millicores;
  }
  return advertised_instances;
}

double RequestRatePerDataCentre(const std::vector<Member>& live,
                                double fleet_requests_per_s,
                                double server_slots) {
  std::set<DataCentreId> data_centres;
  for (const Member& member : live)
    data_centres.insert(member.data_centre);
  const double requests_per_s = std::max(
      fleet_requests_per_s, server_slots * kAssumedRequestsPerSPerSlot);
  return requests_per_s /
         static_cast<double>(std::max<size_t>(1, data_centres.size()));
}

}  // namespace mangodoor
