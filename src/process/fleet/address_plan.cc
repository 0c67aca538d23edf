#include "process/fleet/address_plan.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <string>

#include "process/membership/rendezvous.h"

namespace mangodoor {
namespace {

// With two, a caller has another address if one instance fails.
constexpr size_t kAddressesPerCaller = 2;

/**
 * Score for weighted rendezvous hashing. The candidate with the highest score
 * wins; over many keys, candidates win in proportion to their weights.
 */
double WeightedScore(std::string_view key,
                     std::string_view candidate,
                     double weight) {
  constexpr double kRange = 18446744073709551616.0;  // 2^64
  const double uniform =
      (static_cast<double>(RendezvousScore(key, candidate)) + 0.5) / kRange;
  return -weight / std::log(uniform);
}

bool AcceptsCallers(const Member& member) {
  return member.state == MemberState::kServing;
}

/** Weight of each data centre that has a serving instance. */
std::map<DataCentreId, double> DataCentreWeights(const AddressInputs& inputs) {
  std::map<DataCentreId, double> weights;
  double sum = 0;
  for (const Member& member : inputs.live) {
    if (!AcceptsCallers(member))
      continue;
    const auto found = inputs.capacity.find(member.data_centre);
    const double weight = found == inputs.capacity.end() ? 0 : found->second;
    if (weights.emplace(member.data_centre, weight).second)
      sum += weight;
  }
  if (sum > 0)
    return weights;
  // Without any capacity the request is refused wherever it goes, so the caller
  // stays in this instance's data centre.
  for (auto& [data_centre, weight] : weights)
    weight = data_centre == inputs.own_data_centre ? 1 : 0;
  return weights;
}

std::string CallerKey(const AddressInputs& inputs) {
  return std::string(inputs.caller) + "|" + std::string(inputs.requested_host);
}

std::optional<DataCentreId> PickDataCentre(const AddressInputs& inputs) {
  const std::string key = CallerKey(inputs);
  std::optional<DataCentreId> best;
  double best_score = 0;
  for (const auto& [data_centre, weight] : DataCentreWeights(inputs)) {
    const double score = WeightedScore(key, data_centre.value(), weight);
    if (!best || score > best_score) {
      best = data_centre;
      best_score = score;
    }
  }
  return best;
}

}  // namespace

std::vector<Endpoint> PlanAddresses(const AddressInputs& inputs) {
  const std::optional<DataCentreId> data_centre = PickDataCentre(inputs);
  if (!data_centre)
    return {};
  std::vector<std::pair<double, Endpoint>> scored;
  for (const Member* member : SelectAdvertisedInstances(
           inputs.live, *data_centre, inputs.requests_per_s)) {
    scored.emplace_back(WeightedScore(CallerKey(inputs), member->id.value(),
                                      member->millicores),
                        member->caller_endpoint);
  }
  std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
    return a.first != b.first ? a.first > b.first : a.second < b.second;
  });
  std::vector<Endpoint> addresses;
  for (const auto& [score, endpoint] : scored) {
    if (addresses.size() < kAddressesPerCaller)
      addresses.push_back(endpoint);
  }
  return addresses;
}

}  // namespace mangodoor
