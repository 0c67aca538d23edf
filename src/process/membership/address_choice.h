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

/** How many addresses a caller of a client account is given. */
size_t AddressCount(double rate_per_s);

/**
 * Chooses `count` addresses, best first: those in the own data centre before
 * others, by rendezvous hashing of `key` and address among each.
 */
std::vector<Endpoint> RankAddresses(std::vector<AddressCandidate> candidates,
                                    const std::string& key,
                                    size_t count);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_ADDRESS_CHOICE_H_
