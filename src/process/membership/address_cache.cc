#include "process/membership/address_cache.h"

#include <utility>

namespace mangodoor {
namespace {

// As long as peers take to remove a failed instance from their answers.
constexpr std::chrono::seconds kAvoidTime{1};

bool IsAvoided(const AddressCache& cache,
               const Endpoint& address,
               TimePoint now) {
  const auto found = cache.avoid_until.find(address);
  return found != cache.avoid_until.end() && now < found->second;
}

}  // namespace

bool NeedsRefresh(const AddressCache& cache, TimePoint now) {
  return cache.addresses.empty() || now >= cache.expires_at;
}

void SetAddresses(AddressCache& cache,
                  std::vector<Endpoint> addresses,
                  Duration time_to_live,
                  TimePoint now) {
  cache.addresses = std::move(addresses);
  cache.expires_at = now + time_to_live;
}

void AvoidAddress(AddressCache& cache, const Endpoint& address, TimePoint now) {
  cache.avoid_until[address] = now + kAvoidTime;
}

std::optional<Endpoint> ChooseAddress(const AddressCache& cache,
                                      size_t start,
                                      TimePoint now) {
  const size_t count = cache.addresses.size();
  if (count == 0)
    return std::nullopt;
  for (size_t i = 0; i < count; ++i) {
    const Endpoint& address = cache.addresses[(start + i) % count];
    if (!IsAvoided(cache, address, now))
      return address;
  }
  return cache.addresses[start % count];
}

}  // namespace mangodoor
