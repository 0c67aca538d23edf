#ifndef PROCESS_MEMBERSHIP_ADDRESS_CHOICE_H_
#define PROCESS_MEMBERSHIP_ADDRESS_CHOICE_H_

#include <string>
#include <vector>

#include "process/membership/membership.h"

namespace mangodoor {

/** An instance that can take a caller's requests now. */
struct AddressCandidate {
  Endpoint endpoint;
  bool in_own_data_centre = false;
};

/** Number of addresses for a caller of an account with this rate. */
size_t AddressCount(double rate_per_s);

/**
 * Chooses up to `count` addresses, best first: those in this data centre come
 * before others, and rendezvous hashing of `key` and address orders each of the
 * two groups.
 */
std::vector<Endpoint> RankAddresses(std::vector<AddressCandidate> candidates,
                                    const std::string& key,
                                    size_t count);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_ADDRESS_CHOICE_H_
