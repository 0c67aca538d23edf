#ifndef PROCESS_SERVERS_COLD_WINDOW_H_
#define PROCESS_SERVERS_COLD_WINDOW_H_

#include <deque>
#include <optional>

#include "process/clock.h"

namespace mangodoor {

/** Cold phase of a server that reports how much longer it stays cold. */
struct ColdWindow {
  TimePoint until{};
  /** Times of the requests sent in the last second while it was cold. */
  std::deque<TimePoint> sent;
  std::optional<TimePoint> last_sent;
};

/** Records that the server stays cold for `remaining`; zero ends the phase. */
void SetColdFor(ColdWindow& window, Duration remaining, TimePoint now);

bool IsCold(const ColdWindow& window, TimePoint now);

/**
 * True if one more request may be sent now. `rate_per_s` limits the requests of
 * this instance while the server is cold; 0 means no limit.
 */
bool MaySendCold(const ColdWindow& window, double rate_per_s, TimePoint now);

/** Records a request sent at `now`, if the server is cold. */
void RecordSent(ColdWindow& window, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_COLD_WINDOW_H_
