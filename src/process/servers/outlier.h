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

/** A server that gets no work for a while, and then only trial requests. */
struct Ejection {
  EjectionReason reason = EjectionReason::kNone;
  TimePoint since;
  /** End of the back-off; trial requests may run from then on. */
  TimePoint until;
  /** Findings in a row; each doubles the back-off. */
  int strikes = 0;
  /** Trial requests in a row that went well. */
  int good_trials = 0;
  /** Errors in a row, counted before an ejection. */
  int errors = 0;
};

bool IsEjected(const Ejection& ejection);

/** True if a trial request may run: one at a time after the back-off. */
bool MayRunTrial(const Ejection& ejection, int outstanding, TimePoint now);

/**
 * Ejects the server, or lengthens its back-off. Returns true if this is news:
 * findings within a running back-off are not.
 */
bool Eject(Ejection& ejection, EjectionReason reason, TimePoint now);

/** Believes a peer's finding, for the time of a first back-off. */
void EjectOnPeerReport(Ejection& ejection,
                       TimePoint observed_at,
                       TimePoint now);

/** Ends the ejection after enough good trials; true if it ended. */
bool RecordGoodTrial(Ejection& ejection, TimePoint now);

/** Counts an error; true if there are enough in a row to eject. */
bool RecordError(Ejection& ejection);

/** Latencies of a service that one of its servers is compared with. */
struct ServiceLatency {
  Duration p50{};
  Duration p95{};
  /** Median over its servers of their recent averages. */
  Duration median_of_means{};
};

/** True if the oldest outstanding request shows that the server is slow. */
bool IsTooOld(Duration oldest, const ServiceLatency& service);

/**
 * True if what this instance has seen does not contradict a peer's finding
 * that the server is slow.
 */
bool MayBeSlow(Duration oldest, Duration mean, const ServiceLatency& service);

/** True if the average of a server is an outlier among all of its service. */
bool IsOutlier(Duration mean, int samples, Duration median_of_means);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_OUTLIER_H_
