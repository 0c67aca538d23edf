#ifndef PROCESS_MEMBERSHIP_PEER_SELECTION_H_
#define PROCESS_MEMBERSHIP_PEER_SELECTION_H_

#include <vector>

#include "process/membership/membership.h"

namespace mangodoor {

/** Up to this many instances, each connects to all others. */
constexpr size_t kFullMeshLimit = 25;

/**
 * The instances that `self` keeps connections to. All instances that hold the
 * same list select the same links from both ends, and the links of a large
 * fleet form one connected graph.
 */
std::vector<Instance> SelectPeers(const Instance& self,
                                  const std::vector<Instance>& listed);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_PEER_SELECTION_H_
