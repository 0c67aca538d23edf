#include "process/fleet/call_rates.h"

#include <algorithm>
#include <cmath>

namespace mangodoor {
namespace {

// Short enough to follow a burst while callers keep their addresses.
constexpr Duration kAveragedOver = std::chrono::seconds(2);

constexpr Duration kLocalValid = std::chrono::seconds(2);
// A data centre that cannot be heard still has its callers.
constexpr Duration kRemoteValid = std::chrono::seconds(10);

template <typename Reports>
double SumOf(const Reports& reports, Duration valid, TimePoint now) {
  double sum = 0;
  for (const auto& [from, report] : reports)
    sum += now - report.at <= valid ? report.per_s : 0;
  return sum;
}

}  // namespace

void CountCalls(CallRates& rates, uint64_t total, TimePoint now) {
  if (rates.counted_at) {
    const double elapsed = Seconds(now - *rates.counted_at);
    if (elapsed <= 0)
      return;
    const double sample = static_cast<double>(total - rates.counted) / elapsed;
    const double weight = 1 - std::exp(-elapsed / Seconds(kAveragedOver));
    rates.own_per_s += (sample - rates.own_per_s) * weight;
  }
  rates.counted = total;
  rates.counted_at = now;
}

double RateFor(const CallRates& rates, UsageScope scope, TimePoint now) {
  double rate = rates.own_per_s;
  if (scope != UsageScope::kInstance)
    rate += SumOf(rates.local_rates, kLocalValid, now);
  if (scope == UsageScope::kFleet)
    rate += SumOf(rates.remote_rates, kRemoteValid, now);
  return rate;
}

void RecordPeerCalls(CallRates& rates,
                     const InstanceId& from,
                     const DataCentreId& data_centre,
                     bool own_data_centre,
                     const FleetHeartbeat& heartbeat,
                     TimePoint now) {
  if (heartbeat.covered == 0)
    return;
  const ReportedRate total{heartbeat.calls_per_s, now};
  if (!own_data_centre) {
    if (heartbeat.scope == UsageScope::kDataCentre)
      rates.remote_rates[data_centre] = total;
    return;
  }
  if (heartbeat.scope == UsageScope::kFleet)
    rates.fleet = total;
  if (heartbeat.scope != UsageScope::kDataCentre)
    rates.local_rates[from] = {heartbeat.own_calls_per_s, now};
}

double FleetCallsPerS(const CallRates& rates, TimePoint now) {
  const double told =
      now - rates.fleet.at <= kRemoteValid ? rates.fleet.per_s : 0;
  return std::max(told, RateFor(rates, UsageScope::kFleet, now));
}

}  // namespace mangodoor
