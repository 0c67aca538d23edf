#include "process/membership/join.h"

namespace mangodoor {

bool MayEnterService(const JoinInputs& inputs) {
  if (!inputs.has_version || inputs.version < inputs.highest_peer_version)
    return false;
  if (inputs.reachability.serving_peer || inputs.reachability.alone)
    return true;
  // No reachable peer is in service, so all that are heard are joining: the
  // whole fleet starts together.
  return inputs.reachability.half_reachable;
}

}  // namespace mangodoor
