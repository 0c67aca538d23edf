#ifndef PROCESS_SERVERS_RETRY_TABLE_H_
#define PROCESS_SERVERS_RETRY_TABLE_H_

#include <chrono>
#include <optional>
#include <unordered_map>

#include "process/clock.h"
#include "process/fleet/instance_count.h"
#include "process/ordered_mutex.h"
#include "version/ids.h"

namespace mangodoor {

/** Retries that the fleet may make for one service within `window`. */
struct RetryPolicy {
  /** Retries allowed per request for the service. */
  double ratio = 0;
  Duration window = std::chrono::seconds(10);
  /** Retries of the whole fleet that are allowed beyond `ratio`. */
  double fleet_slack = 0;
};

/** Limits retries and hedges to a fraction of the recent requests. */
struct RetryBudget {
  /** Start of the current second; `previous_` fields count the one before. */
  TimePoint second_start{};
  int requests = 0;
  int retries = 0;
  int previous_requests = 0;
  int previous_retries = 0;
};

void CountRequest(RetryBudget& budget, TimePoint now);
bool MayRetry(const RetryBudget& budget, TimePoint now);
void CountRetry(RetryBudget& budget, TimePoint now);

/**
 * This instance's share of a RetryPolicy. Each request adds a fraction of a
 * retry. Half of the share of the slack is added evenly over each window, and
 * as much, or one retry, can be saved up.
 */
struct RetryShare {
  /** Requests of about the last window, of which older ones count less. */
  double recent_requests = 0;
  TimePoint requests_at{};
  /** Retries that requests have added. */
  double from_requests = 0;
  /** Retries that the slack has added. */
  double from_slack = 0;
  TimePoint slack_added_until{};
};

/** How the slack of a RetryPolicy is divided. */
struct SlackDivision {
  InstanceCount instances;
  /** This instance has no share of the slack before this time. */
  TimePoint from = TimePoint::max();
};

void CountRequest(RetryShare& share, const RetryPolicy& policy, TimePoint now);
bool MayRetry(RetryShare& share,
              const RetryPolicy& policy,
              const SlackDivision& division,
              TimePoint now);
void CountRetry(RetryShare& share);

/** Retry budgets, shared by all requests of this instance. */
struct RetryTable {
  mutable OrderedMutex mutex{LockRank::kConnection};
  RetryBudget budget;
  /** If set, replaces `budget`: the fleet's retries are limited per service. */
  std::optional<RetryPolicy> policy;
  std::unordered_map<ServiceId, RetryShare> shares;
  SlackDivision division;
};

/** Counts a request, which adds a fraction of a retry to the budget. */
void BeginRequest(RetryTable& table, const ServiceId& service, TimePoint now);

/** Takes one retry from the budget; false if none is left. */
bool TakeRetry(RetryTable& table, const ServiceId& service, TimePoint now);

/** Records how many instances are known to run; see RecordInstanceCount. */
void SetInstanceCount(RetryTable& table, int known, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_RETRY_TABLE_H_
