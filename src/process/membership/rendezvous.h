#ifndef PROCESS_MEMBERSHIP_RENDEZVOUS_H_
#define PROCESS_MEMBERSHIP_RENDEZVOUS_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "version/endpoint.h"
#include "version/ids.h"

namespace mangodoor {

/**
 * Score of a candidate for a key; the highest scores win. It is the same on
 * every instance and in every build, which std::hash does not guarantee.
 */
uint64_t RendezvousScore(std::string_view key, std::string_view candidate);

/**
 * Rank of `own` among `addresses` for `server`, by rendezvous hashing; 0 is the
 * highest hash. No value if `own` is not listed. All instances compute the same
 * ranks from the same list.
 */
std::optional<int> RendezvousRank(const BackendServerId& server,
                                  const std::vector<Endpoint>& addresses,
                                  const Endpoint& own);

/** Whole units for `rank` if `total` are divided evenly among `count` ranks. */
int RankShare(int total, int rank, int count);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_RENDEZVOUS_H_
