#ifndef PROCESS_FLEET_FLEET_SIZE_H_
#define PROCESS_FLEET_FLEET_SIZE_H_

#include <cstdint>

#include "process/clock.h"

namespace mangodoor {

/**
 * Number of instances that share the limits of the fleet. Those that this one
 * has lost sight of still count: they can be cut off and use their part. Those
 * that were stopped as planned do not.
 */
struct FleetSize {
  int count = 0;
  /** When as many instances were last seen. */
  TimePoint seen_at{};
  /** MemberList::left when `count` was last updated. */
  uint64_t left = 0;
};

/** Time after which lost instances no longer count. */
constexpr Duration kLostInstancesCount = std::chrono::hours(4);

/**
 * Updates the size. `live` instances are seen now, and `left` is the number of
 * planned stops so far.
 */
void UpdateFleetSize(FleetSize& size, int live, uint64_t left, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_FLEET_SIZE_H_
