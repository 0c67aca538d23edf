#ifndef PROCESS_SERVERS_COLD_WINDOW_H_
#define PROCESS_SERVERS_COLD_WINDOW_H_

#include <deque>
#include <optional>

#include "process/clock.h"

namespace mangodoor {

/** A server that tells until when it is cold, and what it bears till then. */
struct ColdWindow {
  TimePoint until{};
  /** Requests sent to it in the last second while it was cold. */
  std::deque<TimePoint> sent;
  std::optional<TimePoint> last_sent;
};

/** Notes that the server is cold for `remaining` from now on. */
void SetColdFor(ColdWindow& window, Duration remaining, TimePoint now);

bool IsCold(const ColdWindow& window, TimePoint now);

/**
 * True if one more request may go to the server now. `rate_per_s` is what it
 * bears of this instance, 0 for no limit.
 */
bool MaySendCold(const ColdWindow& window, double rate_per_s, TimePoint now);

/** Notes a request that is sent. */
void RecordSent(ColdWindow& window, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_COLD_WINDOW_H_
