#ifndef PROCESS_FLEET_CALL_RATES_H_
#define PROCESS_FLEET_CALL_RATES_H_

#include <map>
#include <optional>

#include "process/clock.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/** A rate that another instance stated. */
struct ReportedRate {
  double per_s = 0;
  TimePoint at{};
};

/**
 * How many requests come to the fleet. Each instance counts its own; the leads
 * sum up those of their data centres, and tell them the total.
 */
struct CallRates {
  uint64_t counted = 0;
  std::optional<TimePoint> counted_at;
  /** Requests that come to this instance, averaged over some seconds. */
  double own_per_s = 0;
  /** Rates at the other instances of this data centre. */
  std::map<InstanceId, ReportedRate> local_rates;
  /** Rates in the other data centres. */
  std::map<DataCentreId, ReportedRate> remote_rates;
  /** The total, as the lead of this data centre stated it. */
  ReportedRate fleet;
};

/** Takes over how many requests this instance has had since its start. */
void CountCalls(CallRates& rates, uint64_t total, TimePoint now);

/** The rate that a beat of this scope states. */
double RateFor(const CallRates& rates, UsageScope scope, TimePoint now);

/** Takes over what the beat of another instance states. */
void RecordPeerCalls(CallRates& rates,
                     const InstanceId& from,
                     const DataCentreId& data_centre,
                     bool own_data_centre,
                     const FleetHeartbeat& heartbeat,
                     TimePoint now);

/** Requests that come to the whole fleet, as far as this instance knows. */
double FleetCallsPerS(const CallRates& rates, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_CALL_RATES_H_
