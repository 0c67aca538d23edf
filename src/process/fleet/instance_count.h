#ifndef PROCESS_FLEET_INSTANCE_COUNT_H_
#define PROCESS_FLEET_INSTANCE_COUNT_H_

#include <optional>

#include "process/clock.h"

namespace mangodoor {

/**
 * Number of instances assumed after a start, so that a process that does not
 * know the others yet uses at most 1 / kAssumedInstances of a limit.
 */
constexpr int kAssumedInstances = 16;

/** Time without a count as high after which a lower one is used. */
constexpr Duration kInstanceCountValid = std::chrono::seconds(30);

/**
 * Number of instances among which the limits of the fleet are divided. It rises
 * at once and falls late: an instance that has just started, or is cut off from
 * the others, knows only itself while the others still use their shares.
 */
struct InstanceCount {
  /** Number of instances assumed to run, at least 1. */
  int count = kAssumedInstances;
  /** When at least `count` were last known; before that, the first record. */
  std::optional<TimePoint> known_at;
};

/**
 * Records how many instances are known to run. A lower number than the current
 * one is ignored until kInstanceCountValid has passed without one as high.
 */
void RecordInstanceCount(InstanceCount& instance_count,
                         int known,
                         TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_INSTANCE_COUNT_H_
