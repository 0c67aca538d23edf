#ifndef PROCESS_MEMBERSHIP_PEER_SELECTION_H_
#define PROCESS_MEMBERSHIP_PEER_SELECTION_H_

#include <vector>

#include "process/membership/membership.h"

namespace mangodoor {

/** In a fleet of up to this size, each instance connects to all others. */
constexpr size_t kFullMeshLimit = 25;

/**
 * The instances that `self` keeps connections to. Two instances with the same
 * list either both select each other or neither does, and the links of a large
 * fleet form one connected graph.
 */
std::vector<Instance> SelectPeers(const Instance& self,
                                  const std::vector<Instance>& listed);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_PEER_SELECTION_H_
