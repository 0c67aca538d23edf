#include "process/membership/join.h"

namespace mangodoor {

bool MayEnterService(const JoinInputs& inputs) {
  if (!inputs.has_version || inputs.version < inputs.highest_heard)
    return false;
  if (inputs.contact.serving_peer || inputs.contact.alone)
    return true;
  // No reachable peer is in service, so all that are heard are joining: the
  // whole fleet starts together.
  return inputs.contact.half_reachable;
}

}  // namespace mangodoor
