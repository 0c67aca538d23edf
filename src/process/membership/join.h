#ifndef PROCESS_MEMBERSHIP_JOIN_H_
#define PROCESS_MEMBERSHIP_JOIN_H_

#include <cstdint>

#include "process/membership/fleet_reachability.h"

namespace mangodoor {

/** Inputs to the decision whether a joining instance may enter service. */
struct JoinInputs {
  bool has_version = false;
  uint64_t version = 0;
  /** Highest version that a reachable peer reports; 0 if none. */
  uint64_t highest_peer_version = 0;
  FleetReachability reachability;
};

/**
 * True if a joining instance may enter service. A document from the
 * configuration service alone is not enough, since it can be stale.
 */
bool MayEnterService(const JoinInputs& inputs);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_JOIN_H_
