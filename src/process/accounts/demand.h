#ifndef PROCESS_ACCOUNTS_DEMAND_H_
#define PROCESS_ACCOUNTS_DEMAND_H_

#include <cstdint>
#include <map>

#include "process/accounts/token_bucket.h"
#include "process/clock.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/** The demand of one client account at this instance. */
struct Demand {
  /** Requests of callers since `updated`, admitted or not. */
  int64_t offered = 0;
  /** Moving averages over kShortAverageTime and kLongAverageTime. */
  double short_rate_per_s = 0;
  double long_rate_per_s = 0;
  TimePoint updated{};
};

/** Time constant of the short average, which follows a step in the load. */
constexpr Duration kShortAverageTime = std::chrono::milliseconds(500);

/**
 * Time constant of the long average. It is steady enough to decide on leases:
 * at 2 requests a second its standard deviation is a quarter of the rate.
 */
constexpr Duration kLongAverageTime = std::chrono::seconds(4);

/** Updates the averages with the requests counted since the last update. */
void UpdateDemand(Demand& demand, TimePoint now);

/**
 * The expected demand in micro-tokens a second: the long average, or the short
 * one if the two differ by more than three standard deviations.
 */
MicroTokens ExpectedRate(const Demand& demand);

/** An estimate of the tokens of one client account that a peer could lend. */
struct PeerEstimate {
  /** Spare tokens at `at`. */
  MicroTokens tokens = 0;
  TimePoint at{};
  /** Fraction of its share that the peer leaves unused, from 0 to 1. */
  double unused_part = 1;
  /** No rate is requested from the peer before this time. */
  TimePoint next_rate_request{};
};

using PeerEstimates = std::map<InstanceId, PeerEstimate>;

/** Spare tokens expected at `now` at a peer whose share is `share`. */
MicroTokens ExpectedSpare(const PeerEstimate& estimate,
                          const RateAndBurst& share,
                          TimePoint now);

/** Updates the estimate with the spare tokens reported in a heartbeat. */
void RecordReportedSpare(PeerEstimate& estimate,
                         MicroTokens spare,
                         TimePoint now);

/**
 * Updates the estimate after the peer granted `granted` of the `wanted` tokens.
 */
void RecordGrant(PeerEstimate& estimate,
                 MicroTokens wanted,
                 MicroTokens granted,
                 TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_DEMAND_H_
