#ifndef PROCESS_MEMBERSHIP_ADDRESS_CACHE_H_
#define PROCESS_MEMBERSHIP_ADDRESS_CACHE_H_

#include <map>
#include <optional>
#include <vector>

#include "process/clock.h"
#include "version/endpoint.h"

namespace mangodoor {

/** The addresses that a caller was told to use, and which ones failed it. */
struct AddressBook {
  std::vector<Endpoint> addresses;
  /** Until then the answer may be kept. */
  TimePoint keep_until{};
  std::map<Endpoint, TimePoint> avoid_until;
};

/** True if the caller has to ask again which addresses to use. */
bool MustAsk(const AddressBook& book, TimePoint now);

void TakeAnswer(AddressBook& book,
                std::vector<Endpoint> addresses,
                Duration keep,
                TimePoint now);

/** Notes that no connection to `address` could be made, or that it broke. */
void AvoidAddress(AddressBook& book, const Endpoint& address, TimePoint now);

/**
 * The first address from place `start` on, round the list, that is not to be
 * avoided; the one at `start` if all are. Empty if there is none at all.
 */
std::optional<Endpoint> ChooseAddress(const AddressBook& book,
                                      size_t start,
                                      TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_ADDRESS_CACHE_H_
