#ifndef PROCESS_FLEET_REQUEST_RATES_H_
#define PROCESS_FLEET_REQUEST_RATES_H_

#include <map>
#include <optional>

#include "process/clock.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/** A request rate that another instance reported. */
struct ReportedRate {
  double per_s = 0;
  TimePoint at{};
};

/**
 * Request rates of the fleet. Each instance counts its own requests. The leader
 * of each data centre sums up the rates of its instances, exchanges the sums
 * with the other leaders, and sends the fleet's total to its instances.
 */
struct RequestRates {
  /** Requests of this instance since its start, as of `counted_at`. */
  uint64_t counted = 0;
  std::optional<TimePoint> counted_at;
  /** Requests a second at this instance, averaged over some seconds. */
  double own_per_s = 0;
  /** Rates at the other instances of this data centre. */
  std::map<InstanceId, ReportedRate> local_rates;
  /** Rates of the other data centres. */
  std::map<DataCentreId, ReportedRate> remote_rates;
  /** The fleet's total, as the leader of this data centre reported it. */
  ReportedRate fleet;
};

/** Updates `own_per_s`; `total` counts all requests since the start. */
void CountRequests(RequestRates& rates, uint64_t total, TimePoint now);

/** The rate that a heartbeat with this scope reports. */
double RateFor(const RequestRates& rates, UsageScope scope, TimePoint now);

/** Records the rates that another instance's heartbeat reports. */
void RecordPeerRequestRates(RequestRates& rates,
                            const InstanceId& from,
                            const DataCentreId& data_centre,
                            bool own_data_centre,
                            const FleetHeartbeat& heartbeat,
                            TimePoint now);

/** Requests a second in the whole fleet, as far as this instance knows. */
double FleetRequestsPerS(const RequestRates& rates, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_REQUEST_RATES_H_
