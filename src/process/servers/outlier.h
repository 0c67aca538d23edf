#ifndef PROCESS_SERVERS_OUTLIER_H_
#define PROCESS_SERVERS_OUTLIER_H_

#include "process/clock.h"

namespace mangodoor {

enum class EjectionReason {
  kNone,
  kOldRequest,
  kSlowAverage,
  kFailingFast,
  kConnectFailed,
  kPeerReport,
};

/** Ejection of a server: no work during the back-off, then trial requests. */
struct Ejection {
  EjectionReason reason = EjectionReason::kNone;
  TimePoint since;
  /** End of the back-off; trial requests are allowed from then on. */
  TimePoint until;
  /** Ejections in a row; each doubles the back-off. */
  int strikes = 0;
  /** Successful trial requests in a row. */
  int good_trials = 0;
  /** Errors in a row. */
  int errors = 0;
};

bool IsEjected(const Ejection& ejection);

/** True if a trial request is allowed: one at a time after the back-off. */
bool MayRunTrial(const Ejection& ejection, int outstanding, TimePoint now);

/**
 * Ejects the server, or starts its next, longer back-off. Returns false, and
 * does nothing, during a back-off.
 */
bool Eject(Ejection& ejection, EjectionReason reason, TimePoint now);

/** Ejects the server on a peer's report, for the first back-off at most. */
void EjectOnPeerReport(Ejection& ejection,
                       TimePoint observed_at,
                       TimePoint now);

/**
 * Counts a successful request. Ends the ejection after enough of them in a row,
 * and returns true if it did.
 */
bool RecordGoodTrial(Ejection& ejection, TimePoint now);

/** Counts an error; true if the server should be ejected for it. */
bool RecordError(Ejection& ejection);

/** Latencies of a service, to which one of its servers is compared. */
struct ServiceLatency {
  Duration p50{};
  Duration p95{};
  /** Median of the recent average latencies of its servers. */
  Duration median_of_means{};
};

/** True if the oldest outstanding request shows that the server is slow. */
bool IsTooOld(Duration oldest, const ServiceLatency& service);

/**
 * True if this instance's own measurements support a peer's report that the
 * server is slow.
 */
bool MayBeSlow(Duration oldest, Duration mean, const ServiceLatency& service);

/** True if the average latency of a server is an outlier in its service. */
bool IsOutlier(Duration mean, int samples, Duration median_of_means);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_OUTLIER_H_
