#include "process/servers/cold_window.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace mangodoor {
namespace {

constexpr Duration kRateWindow = std::chrono::seconds(1);

// How long an instance with less than one request a second may wait for a
// request to send in its turn.
constexpr Duration kTurn = std::chrono::milliseconds(250);

// Bounds the memory for each server. Earlier requests to a warm server do not
// count when it turns cold, which matters only for parts above this limit.
constexpr size_t kMaxSentWhileWarm = 64;

void BeginUnlessCold(ColdWindow& window, TimePoint now) {
  if (!IsCold(window, now))
    window.began = now;
}

int SentRecently(const ColdWindow& window, TimePoint now) {
  const auto recent =
      std::count_if(window.sent.begin(), window.sent.end(),
                    [now](TimePoint sent) { return now - sent < kRateWindow; });
  return static_cast<int>(recent);
}

/**
 * True in the first part of each interval, counted from `phase`, until a
 * request was sent in it. An instance that does not use its turn loses it: the
 * instances of a large fleet have less than one request a second each, and all
 * of them would send one at once when a server turns cold again, or when
 * callers come late in a cold phase.
 */
bool HasTurn(const ColdWindow& window,
             Duration interval,
             double phase,
             TimePoint now) {
  const Duration offset(
      static_cast<int64_t>(static_cast<double>(interval.count()) * phase));
  const Duration passed =
      (now.time_since_epoch() + interval - offset) % interval;
  return passed < kTurn &&
         (!window.last_sent || now - *window.last_sent >= interval - kTurn);
}

}  // namespace

void SetColdByProbe(ColdWindow& window,
                    Duration remaining,
                    TimePoint sent_at,
                    TimePoint now) {
  BeginUnlessCold(window, now);
  window.until_by_probe = now + remaining;
  if (window.record_at <= sent_at)
    window.until_by_record = TimePoint();
}

// A record does not say when it was written, which can be seconds ago. If it
// names a cold phase, the server is treated as cold even if a probe found it
// warm before: a flooded server crashes, while one that is limited by mistake
// gets less work until the next probe.
void SetColdByRecord(ColdWindow& window, Duration remaining, TimePoint now) {
  BeginUnlessCold(window, now);
  window.until_by_record = now + remaining;
  window.record_at = now;
}

TimePoint ColdUntil(const ColdWindow& window) {
  return std::max(window.until_by_probe, window.until_by_record);
}

int SentSinceProbe(const ColdWindow& window, TimePoint now) {
  const TimePoint from =
      std::max(window.probed_at.value_or(TimePoint()), now - kRateWindow);
  const auto sent = std::count_if(window.sent.begin(), window.sent.end(),
                                  [from](TimePoint at) { return at >= from; });
  return static_cast<int>(sent);
}

bool IsCold(const ColdWindow& window, TimePoint now) {
  return now < ColdUntil(window);
}

bool IsRelevant(const ColdWindow& window, TimePoint now) {
  return IsCold(window, now) || SentRecently(window, now) > 0;
}

bool MaySendCold(const ColdWindow& window,
                 const ColdLimit& limit,
                 TimePoint now) {
  if (!IsCold(window, now))
    return true;
  if (limit.rate_per_s <= 0)
    return false;
  const auto interval = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(1 / limit.rate_per_s));
  const int recent = SentRecently(window, now);
  if (interval > kRateWindow)
    return recent == 0 && HasTurn(window, interval, limit.phase, now);
  return recent < std::ceil(limit.rate_per_s) &&
         (window.sent.empty() || now - window.sent.back() >= interval);
}

// RecordSent() has counted the request. If the server turned cold meanwhile,
// more can be recorded than the limit allows. Each one that is not sent is
// removed, so that the rest may be sent once they are within the limit. With
// less than one request a second, only one that was placed during the cold
// phase has waited for its turn.
bool MayStillSendCold(const ColdWindow& window,
                      const ColdLimit& limit,
                      TimePoint now) {
  if (!IsCold(window, now))
    return true;
  if (limit.rate_per_s <= 0)
    return false;
  if (limit.rate_per_s < 1)
    return window.last_sent && *window.last_sent >= window.began;
  return SentRecently(window, now) <= std::ceil(limit.rate_per_s);
}

// Requests to a warm server are kept, too: if it turns cold, those that it got
// in the same second count against its limit.
void RecordSent(ColdWindow& window, TimePoint now) {
  const bool cold = IsCold(window, now);
  while (!window.sent.empty() &&
         (now - window.sent.front() >= kRateWindow ||
          (!cold && window.sent.size() >= kMaxSentWhileWarm)))
    window.sent.pop_front();
  window.sent.push_back(now);
  if (cold)
    window.last_sent = now;
}

void RemoveUnsent(ColdWindow& window, TimePoint at) {
  const auto after =
      std::upper_bound(window.sent.begin(), window.sent.end(), at);
  if (after == window.sent.begin())
    return;
  const auto unsent = std::prev(after);
  if (window.last_sent == *unsent)
    window.last_sent.reset();
  window.sent.erase(unsent);
}

}  // namespace mangodoor
