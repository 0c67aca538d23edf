#ifndef PROCESS_SERVERS_PROBE_CREDIT_H_
#define PROCESS_SERVERS_PROBE_CREDIT_H_

#include <optional>

#include "process/clock.h"

namespace mangodoor {

/**
 * Probes that an instance may send for a service while it knows too few of the
 * others to divide the probe budget of a server. Requests add them, so that all
 * instances together probe in proportion to the requests of the fleet.
 */
struct ProbeCredit {
  double probes = 0;
  /** Unset before the first request. */
  std::optional<TimePoint> refilled_at;
};

/** Adds the probes for one request. */
void CountRequest(ProbeCredit& credit, TimePoint now);

/** Adds the probes for the time since the last call. */
void Refill(ProbeCredit& credit, TimePoint now);

bool HasProbe(const ProbeCredit& credit);

/** Takes one probe; none are left if there was less than one. */
void TakeProbe(ProbeCredit& credit);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_PROBE_CREDIT_H_
