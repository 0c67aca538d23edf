#ifndef PROCESS_MEMBERSHIP_ADDRESS_CACHE_H_
#define PROCESS_MEMBERSHIP_ADDRESS_CACHE_H_

#include <map>
#include <optional>
#include <vector>

#include "process/clock.h"
#include "version/endpoint.h"

namespace mangodoor {

/** The addresses that a caller was told to use, and which ones failed it. */
struct AddressCache {
  std::vector<Endpoint> addresses;
  /** Until then the answer may be kept. */
  TimePoint expires_at{};
  std::map<Endpoint, TimePoint> avoid_until;
};

/** True if the caller has to ask again which addresses to use. */
bool NeedsRefresh(const AddressCache& cache, TimePoint now);

void SetAddresses(AddressCache& cache,
                  std::vector<Endpoint> addresses,
                  Duration time_to_live,
                  TimePoint now);

/** Notes that no connection to `address` could be made, or that it broke. */
void AvoidAddress(AddressCache& cache, const Endpoint& address, TimePoint now);

/**
 * The first address from place `start` on, round the list, that is not to be
 * avoided; the one at `start` if all are. Empty if there is none at all.
 */
std::optional<Endpoint> ChooseAddress(const AddressCache& cache,
                                      size_t start,
                                      TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_ADDRESS_CACHE_H_
