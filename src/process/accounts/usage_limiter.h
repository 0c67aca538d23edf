#ifndef PROCESS_ACCOUNTS_USAGE_LIMITER_H_
#define PROCESS_ACCOUNTS_USAGE_LIMITER_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "process/clock.h"
#include "process/fleet/instance_count.h"
#include "process/peers/peer_message.h"
#include "version/version.h"

namespace mangodoor {

/**
 * How many requests of an account the whole fleet may admit beyond its rate and
 * burst: in any window, `overage` times the allowed requests plus `slack`.
 */
struct UsageTolerance {
  Duration window = std::chrono::seconds(5);
  double overage = 0;
  double slack = 0;
};

/** Demand that was reported in a heartbeat, and the time of the report. */
struct ReportedDemand {
  double per_s = 0;
  TimePoint at{};
};

/** One client account at this instance. */
struct UsageState {
  double rate_per_s = 0;
  double burst = 0;
  double tokens = 0;
  TimePoint refilled_at{};
  /** Moving average of the callers' requests here, at `demand_at`. */
  double demand_per_s = 0;
  TimePoint demand_at{};
  /** This instance's demand in its last two reports to its data centre. */
  double reported_per_s = 0;
  double previous_reported_per_s = 0;
  /**
   * At the leader: demand of its data centre in its last two reports to the
   * other data centres.
   */
  double local_reported_per_s = 0;
  double local_previous_reported_per_s = 0;
  /** Demand at the other instances of this data centre. */
  std::map<InstanceId, ReportedDemand> local_demand;
  /** Demand in the other data centres, reported by their leaders. */
  std::map<DataCentreId, ReportedDemand> remote_demand;
  /** Demand over the fleet, reported by the leader of this data centre. */
  ReportedDemand fleet_demand;
  /** At the leader: tokens that it lends to instances of its data centre. */
  double pool_tokens = 0;
  TimePoint pool_refilled_at{};
  /** When tokens for the pool were last requested from another leader. */
  TimePoint pool_requested_at{};
  uint64_t admitted = 0;
  uint64_t refused = 0;
};

/** How many instances a report of demand covers, and the time of the report. */
struct Coverage {
  int instances = 0;
  TimePoint at{};
};

/**
 * Limits client accounts by shares that follow demand: heartbeats report the
 * demand at each instance, and each instance uses its share of the rate.
 */
struct UsageLimiter {
  UsageTolerance tolerance;
  std::unordered_map<ClientAccountId, UsageState> accounts;
  /**
   * Instances among which the rate is divided: without reports of demand, each
   * of them has an even share.
   */
  InstanceCount instances;
  /** Time of the last heartbeat from each instance of this data centre. */
  std::map<InstanceId, TimePoint> local_heard;
  std::map<DataCentreId, Coverage> remote_coverage;
  /** Instances covered by the latest report of the fleet's demand. */
  Coverage fleet_coverage;
  /** When this instance became the leader of its data centre; unset if not. */
  std::optional<TimePoint> leader_since;
};

/** Applies the rates and bursts of a version; clamps the buckets at once. */
void AdoptAccounts(UsageLimiter& limiter,
                   const Version& version,
                   TimePoint now);

/** Sets whether this instance is the leader, which lends tokens. */
void SetLeader(UsageLimiter& limiter, bool is_leader, TimePoint now);

/** Result of AdmitUsage. */
struct UsageDecision {
  enum class State {
    kAdmitted,
    /** A token has to be requested from the leader of the data centre. */
    kAskLeader,
    kRefused,
  };
  State state = State::kAdmitted;
  /**
   * Unless admitted: the time in which this instance's share of the rate,
   * including the tokens that the leader lends, yields the rest of a token.
   */
  Duration retry_after{};
};

/** Decides on one request; admits it if the account is not limited. */
UsageDecision AdmitUsage(UsageLimiter& limiter,
                         const ClientAccountId& account,
                         TimePoint now);

/** Counts a request as admitted or refused after the leader's reply. */
void FinishTokenRequest(UsageLimiter& limiter,
                        const ClientAccountId& account,
                        bool granted);

/** At the leader: takes a token from the pool; false if there is none. */
bool LendToken(UsageLimiter& limiter,
               const ClientAccountId& account,
               TimePoint now);

/**
 * At the leader: the number of tokens to request from another leader now; 0
 * unless the pool is low, the fleet's demand is known to be below the rate,
 * and the last request is not too recent.
 */
int TokensToRequest(UsageLimiter& limiter,
                    const ClientAccountId& account,
                    TimePoint now);

/** At the leader: takes up to `wanted` tokens for another leader. */
int TakeSpareTokens(UsageLimiter& limiter,
                    const ClientAccountId& account,
                    int wanted,
                    TimePoint now);

/** At the leader: adds tokens that another leader granted. */
void AddToPool(UsageLimiter& limiter,
               const ClientAccountId& account,
               int tokens);

/** Records the demand that a heartbeat reports. */
void RecordPeerUsage(UsageLimiter& limiter,
                     const InstanceId& from,
                     const DataCentreId& data_centre,
                     bool is_local,
                     const FleetHeartbeat& heartbeat,
                     TimePoint now);

/** Fills in the demand that this instance reports for the heartbeat's scope. */
void FillUsage(UsageLimiter& limiter, FleetHeartbeat& heartbeat, TimePoint now);

/** This instance's share of the rate, from 0 to 1. */
double OwnShare(const UsageLimiter& limiter,
                const UsageState& state,
                TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_USAGE_LIMITER_H_
