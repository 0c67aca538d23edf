#include "process/fleet/request_rates.h"

#include <algorithm>
#include <cmath>

namespace mangodoor {
namespace {

// Time constant of the moving average. It is short enough to follow a burst
// while callers still use their cached addresses.
constexpr Duration kAveragingTime = std::chrono::seconds(2);

constexpr Duration kLocalRateMaxAge = std::chrono::seconds(2);
// Longer than the limit for local rates, since a data centre that cannot be
// reached still has callers.
constexpr Duration kRemoteRateMaxAge = std::chrono::seconds(10);

template <typename Reports>
double SumOfRecent(const Reports& reports, Duration max_age, TimePoint now) {
  double sum = 0;
  for (const auto& [from, report] : reports)
    sum += now - report.at <= max_age ? report.per_s : 0;
  return sum;
}

}  // namespace

void CountRequests(RequestRates& rates, uint64_t total, TimePoint now) {
  if (rates.counted_at) {
    const double elapsed = Seconds(now - *rates.counted_at);
    if (elapsed <= 0)
      return;
    const double sample = static_cast<double>(total - rates.counted) / elapsed;
    const double weight = 1 - std::exp(-elapsed / Seconds(kAveragingTime));
    rates.own_per_s += (sample - rates.own_per_s) * weight;
  }
  rates.counted = total;
  rates.counted_at = now;
}

double RateFor(const RequestRates& rates, UsageScope scope, TimePoint now) {
  double rate = rates.own_per_s;
  if (scope != UsageScope::kInstance)
    rate += SumOfRecent(rates.local_rates, kLocalRateMaxAge, now);
  if (scope == UsageScope::kFleet)
    rate += SumOfRecent(rates.remote_rates, kRemoteRateMaxAge, now);
  return rate;
}

void RecordPeerRequestRates(RequestRates& rates,
                            const InstanceId& from,
                            const DataCentreId& data_centre,
                            bool own_data_centre,
                            const FleetHeartbeat& heartbeat,
                            TimePoint now) {
  // A heartbeat that covers no instance carries no rates.
  if (heartbeat.covered == 0)
    return;
  const ReportedRate total{heartbeat.requests_per_s, now};
  if (!own_data_centre) {
    if (heartbeat.scope == UsageScope::kDataCentre)
      rates.remote_rates[data_centre] = total;
    return;
  }
  if (heartbeat.scope == UsageScope::kFleet)
    rates.fleet = total;
  if (heartbeat.scope != UsageScope::kDataCentre)
    rates.local_rates[from] = {heartbeat.own_requests_per_s, now};
}

double FleetRequestsPerS(const RequestRates& rates, TimePoint now) {
  const double reported =
      now - rates.fleet.at <= kRemoteRateMaxAge ? rates.fleet.per_s : 0;
  return std::max(reported, RateFor(rates, UsageScope::kFleet, now));
}

}  // namespace mangodoor
