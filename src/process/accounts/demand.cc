#include "process/accounts/demand.h"

#include <algorithm>
#include <cmath>

namespace mangodoor {
namespace {

// The unused fraction is never estimated as zero, so that a peer that had
// nothing to lend is tried again after some time.
constexpr double kMinUnusedPart = 0.05;

void UpdateAverage(double& average,
                   double sample,
                   Duration interval,
                   Duration time_constant) {
  const double weight =
      1 - std::exp(-Seconds(interval) / Seconds(time_constant));
  average += (sample - average) * weight;
}

}  // namespace

void UpdateDemand(Demand& demand, TimePoint now) {
  const Duration interval = now - demand.updated;
  if (interval <= Duration::zero())
    return;
  const double sample = static_cast<double>(demand.offered) / Seconds(interval);
  UpdateAverage(demand.short_rate_per_s, sample, interval, kShortAverageTime);
  UpdateAverage(demand.long_rate_per_s, sample, interval, kLongAverageTime);
  demand.offered = 0;
  demand.updated = now;
}

MicroTokens ExpectedRate(const Demand& demand) {
  // For random (Poisson) arrivals, the standard deviation of the short average
  // is the square root of rate / (2 * time constant).
  const double larger =
      std::max(demand.short_rate_per_s, demand.long_rate_per_s);
  const double deviation = std::sqrt(larger / (2 * Seconds(kShortAverageTime)));
  const bool step = std::abs(demand.short_rate_per_s - demand.long_rate_per_s) >
                    3 * deviation;
  return static_cast<MicroTokens>(
      (step ? demand.short_rate_per_s : demand.long_rate_per_s) *
      kMicroTokensPerToken);
}

MicroTokens ExpectedSpare(const PeerEstimate& estimate,
                          const RateAndBurst& share,
                          TimePoint now) {
  const double refilled = static_cast<double>(share.rate_per_s) *
                          Seconds(now - estimate.at) * estimate.unused_part;
  const double spare = static_cast<double>(estimate.tokens) + refilled;
  // A peer that pools the shares of others can have more than one share.
  const MicroTokens most = std::max(share.burst, estimate.tokens);
  return std::min(static_cast<MicroTokens>(spare), most);
}

void RecordReportedSpare(PeerEstimate& estimate,
                         MicroTokens spare,
                         TimePoint now) {
  estimate.tokens = std::max<MicroTokens>(0, spare);
  estimate.at = now;
  if (spare > 0)
    estimate.unused_part = std::max(estimate.unused_part, 0.5);
}

void RecordGrant(PeerEstimate& estimate,
                 MicroTokens wanted,
                 MicroTokens granted,
                 TimePoint now) {
  if (wanted <= 0)
    return;
  const double part =
      static_cast<double>(granted) / static_cast<double>(wanted);
  estimate.unused_part =
      std::clamp((estimate.unused_part + part) / 2, kMinUnusedPart, 1.0);
  estimate.tokens -= granted;
  if (granted < wanted || estimate.tokens < 0) {
    estimate.tokens = 0;
    estimate.at = now;
  }
}

}  // namespace mangodoor
