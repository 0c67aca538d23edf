#include "process/fleet/instance_count.h"

#include <algorithm>

namespace mangodoor {

void RecordInstanceCount(InstanceCount& instance_count,
                         int known,
                         TimePoint now) {
  if (!instance_count.known_at)
    instance_count.known_at = now;
  if (known < instance_count.count &&
      now - *instance_count.known_at < kInstanceCountValid)
    return;
  instance_count.count = std::max(1, known);
  instance_count.known_at = now;
}

}  // namespace mangodoor
