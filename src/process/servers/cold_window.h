#ifndef PROCESS_SERVERS_COLD_WINDOW_H_
#define PROCESS_SERVERS_COLD_WINDOW_H_

#include <deque>
#include <optional>

#include "process/clock.h"

namespace mangodoor {

/** Cold phase of a server that reports how much longer it stays cold. */
struct ColdWindow {
  /** When this instance learned that the server is cold. */
  TimePoint began{};
  /** End of the cold phase according to the latest probe. */
  TimePoint until_by_probe{};
  /** When a probe was last answered, whether it reported a cold phase or not.
   */
  std::optional<TimePoint> probed_at;
  /** End according to the latest record that came after that probe. */
  TimePoint until_by_record{};
  /** When that record was applied. */
  TimePoint record_at{};
  /** Times of the requests sent in the last second; a part of them if warm. */
  std::deque<TimePoint> sent;
  /** Time of the latest request that was sent while it was cold. */
  std::optional<TimePoint> last_sent;
};

/**
 * Records that the server answered a probe with this remaining time, which
 * replaces what was known when the probe was sent. Zero ends the phase, unless
 * a record has come since then.
 */
void SetColdByProbe(ColdWindow& window,
                    Duration remaining,
                    TimePoint sent_at,
                    TimePoint now);

/**
 * Records the remaining time in a newly written record. It replaces that of an
 * earlier record, and can lengthen, but not shorten, what a probe reported.
 */
void SetColdByRecord(ColdWindow& window, Duration remaining, TimePoint now);

bool IsCold(const ColdWindow& window, TimePoint now);

/** Requests of the last second that were sent after the latest probe. */
int SentSinceProbe(const ColdWindow& window, TimePoint now);

/** End of the current or latest cold phase. */
TimePoint ColdUntil(const ColdWindow& window);

/** True if the window limits requests to a server that is, or turns, cold. */
bool IsRelevant(const ColdWindow& window, TimePoint now);

/** This instance's part of the requests that a cold server may get. */
struct ColdLimit {
  /** Requests a second; 0 if none may be sent. */
  double rate_per_s = 0;
  /**
   * Part of the interval between two requests, from 0 to 1, after which this
   * instance has its turn if the rate is below one a second. Another one at
   * each instance, so that they do not all send at the same time.
   */
  double phase = 0;
};

/** True if one more request may be sent now. */
bool MaySendCold(const ColdWindow& window,
                 const ColdLimit& limit,
                 TimePoint now);

/**
 * True if a request that was recorded by RecordSent(), perhaps before the
 * server turned cold, may still be sent.
 */
bool MayStillSendCold(const ColdWindow& window,
                      const ColdLimit& limit,
                      TimePoint now);

/** Records a request that is sent to the server, at `now` or soon after. */
void RecordSent(ColdWindow& window, TimePoint now);

/** Removes the latest request recorded up to `at`, since it was not sent. */
void RemoveUnsent(ColdWindow& window, TimePoint at);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_COLD_WINDOW_H_
