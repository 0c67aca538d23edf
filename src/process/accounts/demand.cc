#include "process/accounts/demand.h"

#include <algorithm>
#include <cmath>

namespace mangodoor {
namespace {

// Even a peer that had nothing to lend is asked again after some time.
constexpr double kLeastUnused = 0.05;

void Average(double& average, double sample, Duration interval, Duration over) {
  const double weight = 1 - std::exp(-Seconds(interval) / Seconds(over));
  average += (sample - average) * weight;
}

}  // namespace

void UpdateDemand(Demand& demand, TimePoint now) {
  const Duration interval = now - demand.updated;
  if (interval <= Duration::zero())
    return;
  const double sample = static_cast<double>(demand.offered) / Seconds(interval);
  Average(demand.short_rate_per_s, sample, interval, kShortAverage);
  Average(demand.long_rate_per_s, sample, interval, kLongAverage);
  demand.offered = 0;
  demand.updated = now;
}

MicroTokens ExpectedRate(const Demand& demand) {
  // The deviation of the short average of random arrivals is the root of
  // rate / (2 * time).
  const double larger =
      std::max(demand.short_rate_per_s, demand.long_rate_per_s);
  const double deviation = std::sqrt(larger / (2 * Seconds(kShortAverage)));
  const bool step = std::abs(demand.short_rate_per_s - demand.long_rate_per_s) >
                    3 * deviation;
  return static_cast<MicroTokens>(
      (step ? demand.short_rate_per_s : demand.long_rate_per_s) *
      kMicroTokensPerToken);
}

MicroTokens ExpectedSpare(const PeerEstimate& estimate,
                          const Share& share,
                          TimePoint now) {
  const double minted = static_cast<double>(share.rate_per_s) *
                        Seconds(now - estimate.at) * estimate.unused;
  const double spare = static_cast<double>(estimate.tokens) + minted;
  // A peer that pools the shares of others may have more than one share.
  const MicroTokens most = std::max(share.burst, estimate.tokens);
  return std::min(static_cast<MicroTokens>(spare), most);
}

void NoteReported(PeerEstimate& estimate, MicroTokens spare, TimePoint now) {
  estimate.tokens = std::max<MicroTokens>(0, spare);
  estimate.at = now;
  if (spare > 0)
    estimate.unused = std::max(estimate.unused, 0.5);
}

void NoteGranted(PeerEstimate& estimate,
                 MicroTokens wanted,
                 MicroTokens granted,
                 TimePoint now) {
  if (wanted <= 0)
    return;
  const double part =
      static_cast<double>(granted) / static_cast<double>(wanted);
  estimate.unused = std::clamp((estimate.unused + part) / 2, kLeastUnused, 1.0);
  estimate.tokens -= granted;
  if (granted < wanted || estimate.tokens < 0) {
    estimate.tokens = 0;
    estimate.at = now;
  }
}

}  // namespace mangodoor
