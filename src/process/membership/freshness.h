#ifndef PROCESS_MEMBERSHIP_FRESHNESS_H_
#define PROCESS_MEMBERSHIP_FRESHNESS_H_

#include <optional>

#include "process/clock.h"

namespace mangodoor {

/** Without a confirmed read or contact for this long, an instance is fenced. */
constexpr Duration kFreshFor = std::chrono::seconds(3);

/** A longer gap between two looks at the clock is a pause of the process. */
constexpr Duration kPauseThreshold = std::chrono::milliseconds(500);

/** What shows that the version in force is recent. */
struct Freshness {
  /** When the configuration service confirmed it to this instance. */
  std::optional<TimePoint> own_read;
  /** When it confirmed it to a peer that holds the same version. */
  std::optional<TimePoint> relayed_read;
  /** When at least half of the listed live instances were in contact. */
  std::optional<TimePoint> half_heard;
  /** The latest look at the clock; unset before the first one. */
  std::optional<TimePoint> last_clock_check;
};

/**
 * Notes a look at the clock. After a pause, forgets everything known before it
 * and returns true: whatever was confirmed may have changed meanwhile.
 */
bool CheckForPause(Freshness& freshness, TimePoint now);

/** Keeps the later one of `known` and `seen`. */
void KeepLatest(std::optional<TimePoint>& known,
                const std::optional<TimePoint>& seen);

/** The latest confirmed read, own or relayed. */
std::optional<TimePoint> ConfirmedRead(const Freshness& freshness);

/** Age of the latest confirmed read; Duration::max() if there is none. */
Duration ReadAge(const Freshness& freshness, TimePoint now);

/**
 * True if the version in force may be used for keyed requests: it was confirmed
 * at most `fresh_for` ago.
 */
bool IsFresh(const Freshness& freshness, Duration fresh_for, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_FRESHNESS_H_
