#include "process/servers/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace mangodoor {
namespace {

// Requests of other instances end within a few service times.
constexpr Duration kOthersDecayTime = std::chrono::milliseconds(300);

// A noisy neighbour that takes a server's CPU time is gone after about this
// time.
constexpr Duration kSlownessDecayTime = std::chrono::milliseconds(150);

double Decay(Duration age, Duration time) {
  return std::exp(-std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(time));
}

}  // namespace

void RecordServerLoad(LoadEstimate& estimate,
                      const ServerLoad& server_load,
                      int own,
                      TimePoint now) {
  estimate.others =
      std::max(0, server_load.running + server_load.waiting - own);
  estimate.slowness = std::max(0.01, server_load.slowness);
  estimate.at = now;
}

double OthersNow(const LoadEstimate& estimate, TimePoint now) {
  return estimate.others * Decay(now - estimate.at, kOthersDecayTime);
}

double SlownessNow(const LoadEstimate& estimate, TimePoint now) {
  return 1 +
         (estimate.slowness - 1) * Decay(now - estimate.at, kSlownessDecayTime);
}

double ExpectedTime(const LoadEstimate& estimate,
                    int own,
                    int slots,
                    TimePoint now) {
  const double requests = own + OthersNow(estimate, now) + 1;
  const double waiting = std::max(0.0, requests - slots);
  return SlownessNow(estimate, now) * (1 + waiting / std::max(1, slots));
}

}  // namespace mangodoor
