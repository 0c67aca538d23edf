#include "process/servers/probe_credit.h"

#include <algorithm>

namespace mangodoor {
namespace {

// Most requests need one probe, some a second one because the first server is
// slow or full.
constexpr double kProbesPerRequest = 1.5;
// For a request that has used its probes and still waits for a server.
constexpr double kProbesPerS = 0.5;
constexpr double kMaxProbes = 20;

}  // namespace

void CountRequest(ProbeCredit& credit, TimePoint now) {
  Refill(credit, now);
  credit.probes = std::min(kMaxProbes, credit.probes + kProbesPerRequest);
}

void Refill(ProbeCredit& credit, TimePoint now) {
  const Duration elapsed = now - credit.refilled_at.value_or(now);
  credit.probes =
      std::min(kMaxProbes, credit.probes + kProbesPerS * Seconds(elapsed));
  credit.refilled_at = now;
}

bool HasProbe(const ProbeCredit& credit) {
  return credit.probes >= 1;
}

void TakeProbe(ProbeCredit& credit) {
  credit.probes = std::max(0.0, credit.probes - 1);
}

}  // namespace mangodoor
