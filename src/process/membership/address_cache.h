#ifndef PROCESS_MEMBERSHIP_ADDRESS_CACHE_H_
#define PROCESS_MEMBERSHIP_ADDRESS_CACHE_H_

#include <map>
#include <optional>
#include <vector>

#include "process/clock.h"
#include "version/endpoint.h"

namespace mangodoor {

/** A caller's cache of the addresses to use, and of those that failed. */
struct AddressCache {
  std::vector<Endpoint> addresses;
  /** When `addresses` have to be requested again. */
  TimePoint expires_at{};
  /** Addresses that failed, and until when they are avoided. */
  std::map<Endpoint, TimePoint> avoid_until;
};

/** True if the caller has to request the addresses again. */
bool NeedsRefresh(const AddressCache& cache, TimePoint now);

void SetAddresses(AddressCache& cache,
                  std::vector<Endpoint> addresses,
                  Duration time_to_live,
                  TimePoint now);

/** Records that a connection to `address` failed or broke. */
void AvoidAddress(AddressCache& cache, const Endpoint& address, TimePoint now);

/**
 * The first address that is not avoided, cyclically from index `start`; the one
 * at `start` if all are avoided. No value if the cache is empty.
 */
std::optional<Endpoint> ChooseAddress(const AddressCache& cache,
                                      size_t start,
                                      TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_ADDRESS_CACHE_H_
