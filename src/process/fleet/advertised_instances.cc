#include "process/fleet/advertised_instances.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "process/membership/rendezvous.h"

namespace mangodoor {
namespace {

// Two, so that one may fail.
constexpr size_t kFewestTakers = 2;

// Processor time of a call, with its part of probes, beats and logs, in
// thousandths of a core for each call a second.
constexpr double kMillicoresPerCall = 1;

// A burst comes before it is counted, and callers keep their addresses.
constexpr double kHeadroom = 3;

// Before calls were counted, after a start of the whole fleet, say.
constexpr double kAssumedCallsPerSlot = 1;

}  // namespace

std::vector<const Member*> SelectAdvertisedInstances(
    const std::vector<Member>& live,
    const DataCentreId& data_centre,
    double calls_per_s) {
  std::vector<std::pair<uint64_t, const Member*>> able;
  const std::string salt = data_centre.value() + "|calls";
  for (const Member& member : live) {
    if (member.data_centre == data_centre &&
        member.state == MemberState::kServing)
      able.emplace_back(RendezvousScore(salt, member.id.value()), &member);
  }
  std::sort(able.begin(), able.end(), [](const auto& a, const auto& b) {
    return a.second->millicores != b.second->millicores
               ? a.second->millicores > b.second->millicores
               : a.first > b.first;
  });
  const double needed = calls_per_s * kMillicoresPerCall * kHeadroom;
  std::vector<const Member*> advertised_instances;
  double millicores = 0;
  for (const auto& [score, member] : able) {
    if (advertised_instances.size() >= kFewestTakers && millicores >= needed)
      break;
    advertised_instances.push_back(member);
    millicores += member->millicores;
  }
  return advertised_instances;
}

double CallsPerDataCentre(const std::vector<Member>& live,
                          double fleet_calls_per_s,
                          double server_slots) {
  std::set<DataCentreId> data_centres;
  for (const Member& member : live)
    data_centres.insert(member.data_centre);
  const double calls =
      std::max(fleet_calls_per_s, server_slots * kAssumedCallsPerSlot);
  return calls / static_cast<double>(std::max<size_t>(1, data_centres.size()));
}

}  // namespace mangodoor
