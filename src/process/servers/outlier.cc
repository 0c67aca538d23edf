#include "process/servers/outlier.h"

#include <algorithm>

namespace mangodoor {
namespace {

constexpr Duration kFirstBackOff = std::chrono::seconds(1);
constexpr Duration kLongestBackOff = std::chrono::seconds(30);
// After this time without an ejection, the back-off starts at kFirstBackOff
// again.
constexpr Duration kStrikeResetTime = std::chrono::seconds(60);
constexpr int kMaxStrikes = 6;

// A server ten times slower than its service still answers one request in four
// within three typical latencies, but three in a row only one time in 64.
constexpr int kTrialsToReturn = 3;

// Bad requests of a caller can cause errors too, but rarely five in a row.
constexpr int kErrorsToEject = 5;

// Of exponentially distributed service times, one in a thousand exceeds seven
// means, which are ten medians. The multiple of p95 covers loads at which
// requests queue.
constexpr int kTypicalMultiple = 10;
constexpr int kP95Multiple = 2;
// When load rises and all servers queue, the means rise within two seconds, the
// quantiles later. Without this multiple, queueing would eject healthy servers
// and so overload the remaining ones.
constexpr int kMeanMultiple = 7;

constexpr int kOutlierMultiple = 3;
constexpr int kMinSamples = 10;

Duration BackOff(int strikes) {
  const int doublings = std::clamp(strikes - 1, 0, kMaxStrikes);
  return std::min(kLongestBackOff, kFirstBackOff * (1 << doublings));
}

}  // namespace

bool IsEjected(const Ejection& ejection) {
  return ejection.reason != EjectionReason::kNone;
}

bool MayRunTrial(const Ejection& ejection, int outstanding, TimePoint now) {
  return now >= ejection.until && outstanding == 0;
}

bool Eject(Ejection& ejection, EjectionReason reason, TimePoint now) {
  const bool already_ejected = IsEjected(ejection);
  if (already_ejected && now < ejection.until)
    return false;
  if (!already_ejected) {
    if (now - ejection.until > kStrikeResetTime)
      ejection.strikes = 0;
    ejection.since = now;
  }
  ejection.strikes = std::min(ejection.strikes + 1, kMaxStrikes);
  ejection.reason = reason;
  ejection.until = now + BackOff(ejection.strikes);
  ejection.good_trials = 0;
  return true;
}

void EjectOnPeerReport(Ejection& ejection,
                       TimePoint observed_at,
                       TimePoint now) {
  const TimePoint until = observed_at + kFirstBackOff;
  if (until <= now)
    return;
  if (!IsEjected(ejection)) {
    ejection.reason = EjectionReason::kPeerReport;
    ejection.since = observed_at;
    ejection.good_trials = 0;
  }
  ejection.until = std::max(ejection.until, until);
}

bool RecordGoodTrial(Ejection& ejection, TimePoint now) {
  ejection.errors = 0;
  if (!IsEjected(ejection) || now < ejection.until)
    return false;
  if (++ejection.good_trials < kTrialsToReturn)
    return false;
  ejection.reason = EjectionReason::kNone;
  ejection.until = now;
  return true;
}

bool RecordError(Ejection& ejection) {
  ++ejection.errors;
  return ejection.errors >= kErrorsToEject || IsEjected(ejection);
}

bool IsTooOld(Duration oldest, const ServiceLatency& service) {
  return oldest >
         std::max({service.p50 * kTypicalMultiple, service.p95 * kP95Multiple,
                   service.median_of_means * kMeanMultiple});
}

bool MayBeSlow(Duration oldest, Duration mean, const ServiceLatency& service) {
  return oldest > service.p95 || mean * 2 > service.median_of_means * 3;
}

bool IsOutlier(Duration mean, int samples, Duration median_of_means) {
  return samples >= kMinSamples && mean > median_of_means * kOutlierMultiple;
}

}  // namespace mangodoor
