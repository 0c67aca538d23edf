#ifndef PROCESS_ACCOUNTS_DEMAND_H_
#define PROCESS_ACCOUNTS_DEMAND_H_

#include <cstdint>
#include <map>

#include "process/accounts/token_bucket.h"
#include "process/clock.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/** Offered requests of one client account at this instance. */
struct Demand {
  /** Requests since `updated`. */
  int64_t offered = 0;
  /** Moving averages over kShortAverage and kLongAverage. */
  double short_rate_per_s = 0;
  double long_rate_per_s = 0;
  TimePoint updated{};
};

/** Follows a step in the load. */
constexpr Duration kShortAverage = std::chrono::milliseconds(500);

/** Steady enough to lend by: at 2 requests a second, within a quarter. */
constexpr Duration kLongAverage = std::chrono::seconds(4);

/** Folds the requests counted since the last update into the averages. */
void UpdateDemand(Demand& demand, TimePoint now);

/**
 * The rate of callers to provide for, in micro-tokens a second: the lasting
 * one, or the present one if it differs by more than three deviations.
 */
MicroTokens ExpectedRate(const Demand& demand);

/** What a peer could lend of one client account, as far as known. */
struct PeerEstimate {
  /** Spare tokens at `at`. */
  MicroTokens tokens = 0;
  TimePoint at{};
  /** Part of its share that a peer leaves unused, from 0 to 1. */
  double unused = 1;
  /** No rate is requested before. */
  TimePoint rate_not_before{};
};

using PeerEstimates = std::map<InstanceId, PeerEstimate>;

/** Spare tokens expected now at a peer that has a share like `share`. */
MicroTokens ExpectedSpare(const PeerEstimate& estimate,
                          const Share& share,
                          TimePoint now);

/** Notes what a peer reported in a heartbeat. */
void NoteReported(PeerEstimate& estimate, MicroTokens spare, TimePoint now);

/** Notes that a peer granted `granted` tokens of `wanted`. */
void NoteGranted(PeerEstimate& estimate,
                 MicroTokens wanted,
                 MicroTokens granted,
                 TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_DEMAND_H_
