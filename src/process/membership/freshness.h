#ifndef PROCESS_MEMBERSHIP_FRESHNESS_H_
#define PROCESS_MEMBERSHIP_FRESHNESS_H_

#include <optional>

#include "process/clock.h"

namespace mangodoor {

/**
 * An instance is fenced once neither a confirmed read nor contact with half of
 * the fleet is more recent than this.
 */
constexpr Duration kFreshFor = std::chrono::seconds(3);

/** After a longer gap between clock readings, the process was paused. */
constexpr Duration kPauseThreshold = std::chrono::milliseconds(500);

/** Evidence that the version in force is up to date. */
struct Freshness {
  /** When the configuration service last confirmed this version here. */
  std::optional<TimePoint> own_read;
  /** When the service last confirmed it to a peer with the same version. */
  std::optional<TimePoint> relayed_read;
  /** The latest FleetReachability::half_fleet_heard_at. */
  std::optional<TimePoint> half_fleet_heard_at;
  /** The latest reading of the clock; unset before the first one. */
  std::optional<TimePoint> last_clock_check;
};

/**
 * Records a reading of the clock. After a pause, discards all earlier evidence
 * and returns true, since the configuration can have changed meanwhile.
 */
bool CheckForPause(Freshness& freshness, TimePoint now);

/** Sets `known` to `seen` if that is later. */
void KeepLatest(std::optional<TimePoint>& known,
                const std::optional<TimePoint>& seen);

/** The latest confirmed read, own or relayed. */
std::optional<TimePoint> ConfirmedRead(const Freshness& freshness);

/** Age of the latest confirmed read; Duration::max() if there is none. */
Duration ReadAge(const Freshness& freshness, TimePoint now);

/**
 * True if the version in force may be used for keyed requests, which are those
 * with an API key: a read confirmed it, or half of the fleet was reachable, at
 * most `fresh_for` ago. False after a pause, until new evidence is recorded.
 */
bool IsFresh(const Freshness& freshness, Duration fresh_for, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_FRESHNESS_H_
