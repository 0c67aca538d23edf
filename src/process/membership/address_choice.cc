#include "process/membership/address_choice.h"

#include <algorithm>
#include <cmath>

#include "process/membership/rendezvous.h"

namespace mangodoor {
namespace {

// With two, a caller has another address if one fails.
constexpr size_t kMinAddresses = 2;
constexpr size_t kMaxAddresses = 16;

// The target size of 330,000 requests a second over about 400 instances is 825
// for each; half of it leaves room for other client accounts.
constexpr double kRequestsPerSPerInstance = 400;

}  // namespace

size_t AddressCount(double rate_per_s) {
  const double wanted = std::ceil(rate_per_s / kRequestsPerSPerInstance);
  if (!(wanted > kMinAddresses))
    return kMinAddresses;
  return std::min(kMaxAddresses, static_cast<size_t>(wanted));
}

std::vector<Endpoint> RankAddresses(std::vector<AddressCandidate> candidates,
                                    const std::string& key,
                                    size_t count) {
  std::sort(candidates.begin(), candidates.end(),
            [&](const AddressCandidate& a, const AddressCandidate& b) {
              if (a.in_own_data_centre != b.in_own_data_centre)
                return a.in_own_data_centre;
              return RendezvousScore(key, ToString(a.endpoint)) >
                     RendezvousScore(key, ToString(b.endpoint));
            });
  std::vector<Endpoint> chosen;
  for (const AddressCandidate& candidate : candidates) {
    if (chosen.size() == count)
      break;
    chosen.push_back(candidate.endpoint);
  }
  return chosen;
}

}  // namespace mangodoor
