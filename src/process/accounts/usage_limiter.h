#ifndef PROCESS_ACCOUNTS_USAGE_LIMITER_H_
#define PROCESS_ACCOUNTS_USAGE_LIMITER_H_

#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

#include "process/clock.h"
#include "process/peers/peer_message.h"
#include "version/version.h"

namespace mangodoor {

/**
 * What may be admitted beyond rate and burst: in any window, `overage` times
 * the allowed requests plus `slack`, over the whole fleet.
 */
struct UsageTolerance {
  Duration window = std::chrono::seconds(5);
  double overage = 0;
  double slack = 0;
};

/** A demand that another instance stated. */
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
  /** Requests that came here, averaged over the last seconds. */
  double demand_per_s = 0;
  TimePoint demand_at{};
  /** What this instance last stated of its demand, and the time before. */
  double stated_per_s = 0;
  double stated_before_per_s = 0;
  /** The same for the demand of the whole data centre, stated by its lead. */
  double local_stated_per_s = 0;
  double local_stated_before_per_s = 0;
  /** Demands at the other instances of this data centre. */
  std::map<InstanceId, ReportedDemand> local_demand;
  /** Demands in the other data centres. */
  std::map<DataCentreId, ReportedDemand> remote_demand;
  /** Demand over the fleet, as the lead of this data centre stated it. */
  ReportedDemand fleet;
  /** What the lead lends to the instances of its data centre. */
  double pool = 0;
  TimePoint pool_refilled_at{};
  /** When another lead was last asked to fill it up. */
  TimePoint pool_requested_at{};
  uint64_t admitted = 0;
  uint64_t refused = 0;
};

/** How many instances a statement of demands covers. */
struct Coverage {
  int instances = 0;
  TimePoint at{};
};

/**
 * Until an instance has seen how many others there are, it takes no more than
 * one of this many would.
 */
constexpr int kAssumedInstances = 16;

/** The client accounts whose rates the fleet shares by reports of demand. */
struct UsageLimiter {
  UsageTolerance tolerance;
  std::unordered_map<ClientAccountId, UsageState> accounts;
  /** The most instances seen at once lately; bounds a share without news. */
  int instances = kAssumedInstances;
  std::optional<TimePoint> instances_at;
  std::map<InstanceId, TimePoint> local_heard;
  std::map<DataCentreId, Coverage> remote_coverage;
  /** What the latest statement on the whole fleet covered. */
  Coverage fleet;
  /** Since when this instance is the lead of its data centre. */
  std::optional<TimePoint> leader_since;
};

/** Adopts the rates and bursts of a version; clamps at once. */
void AdoptAccounts(UsageLimiter& limiter,
                   const Version& version,
                   TimePoint now);

/** Notes how many instances are known to run. */
void SetInstanceCount(UsageLimiter& limiter, int count, TimePoint now);

/** Notes whether this instance lends for its data centre. */
void SetLeader(UsageLimiter& limiter, bool is_leader, TimePoint now);

/** Whether a request may run, and if not, when the next one may. */
struct UsageDecision {
  enum class State {
    kAdmitted,
    /** The lead of the data centre may lend a token. */
    kAskLeader,
    kRefused,
  };
  State state = State::kAdmitted;
  Duration retry_after{};
};

/** Decides on one request of the account. */
UsageDecision AdmitUsage(UsageLimiter& limiter,
                         const ClientAccountId& account,
                         TimePoint now);

/** Ends a request for which the lead was asked. */
void FinishTokenRequest(UsageLimiter& limiter,
                        const ClientAccountId& account,
                        bool granted);

/** True if the lead, which this instance is, lends a token. */
bool LendToken(UsageLimiter& limiter,
               const ClientAccountId& account,
               TimePoint now);

/** Tokens that the lead asks another lead for now, as its pool is low. */
int TokensToRequest(UsageLimiter& limiter,
                    const ClientAccountId& account,
                    TimePoint now);

/** Tokens of at most `wanted` that the lead can spare for another lead. */
int SpareTokens(UsageLimiter& limiter,
                const ClientAccountId& account,
                int wanted,
                TimePoint now);

/** Adds tokens that another lead spared. */
void AddToPool(UsageLimiter& limiter,
               const ClientAccountId& account,
               int tokens);

/** Takes over what a beat says of demands. */
void RecordPeerUsage(UsageLimiter& limiter,
                     const InstanceId& from,
                     const DataCentreId& data_centre,
                     bool own_data_centre,
                     const FleetHeartbeat& heartbeat,
                     TimePoint now);

/** Fills in what this instance states of demands, for the beat's scope. */
void FillUsage(UsageLimiter& limiter, FleetHeartbeat& heartbeat, TimePoint now);

/** Part of the rate that falls to this instance, from 0 to 1. */
double OwnShare(const UsageLimiter& limiter,
                const UsageState& state,
                TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_USAGE_LIMITER_H_
