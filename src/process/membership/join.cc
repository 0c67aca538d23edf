#include "process/membership/join.h"

namespace mangodoor {

bool MayEnterService(const JoinInputs& inputs) {
  if (!inputs.has_version || inputs.version < inputs.highest_peer_version)
    return false;
  if (inputs.reachability.serving_peer || inputs.reachability.alone)
    return true;
  // All reachable peers are joining, too. If half of the fleet is reachable,
  // the whole fleet is starting.
  return inputs.reachability.half_fleet_reachable;
}

}  // namespace mangodoor
