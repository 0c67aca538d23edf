#include "process/servers/load_estimate.h"

#include <algorithm>
#include <cmath>

namespace mangodoor {
namespace {

// Requests of others end within some service times.
constexpr Duration kOthersTime = std::chrono::milliseconds(300);

// A neighbour that takes a server's processor is gone after about this time.
constexpr Duration kSlownessTime = std::chrono::milliseconds(150);

double Fading(Duration age, Duration time) {
  return std::exp(-std::chrono::duration<double>(age) /
                  std::chrono::duration<double>(time));
}

}  // namespace

void RecordServerLoad(LoadEstimate& load,
                      const ServerLoad& server_load,
                      int own,
                      TimePoint now) {
  load.others = std::max(0, server_load.running + server_load.waiting - own);
  load.slowness = std::max(0.01, server_load.slowness);
  load.at = now;
}

double OthersNow(const LoadEstimate& load, TimePoint now) {
  return load.others * Fading(now - load.at, kOthersTime);
}

double SlownessNow(const LoadEstimate& load, TimePoint now) {
  return 1 + (load.slowness - 1) * Fading(now - load.at, kSlownessTime);
}

double ExpectedTime(const LoadEstimate& load,
                    int own,
                    int slots,
                    TimePoint now) {
  const double there = own + OthersNow(load, now) + 1;
  const double waiting = std::max(0.0, there - slots);
  return SlownessNow(load, now) * (1 + waiting / std::max(1, slots));
}

}  // namespace mangodoor
