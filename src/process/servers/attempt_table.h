#ifndef PROCESS_SERVERS_ATTEMPT_TABLE_H_
#define PROCESS_SERVERS_ATTEMPT_TABLE_H_

#include <chrono>
#include <optional>
#include <unordered_map>

#include "process/clock.h"
#include "process/ordered_mutex.h"
#include "version/ids.h"

namespace mangodoor {

/** Repeats of one service that the fleet may make in a window. */
struct RetryPolicy {
  /** As a part of the requests for the service. */
  double ratio = 0;
  Duration window = std::chrono::seconds(10);
  /** Beyond that part, over all instances. */
  double fleet_slack = 0;
};

/** Repeated and hedged attempts are a bounded part of recent requests. */
struct RetryBudget {
  /** Requests and repeats of the current and the previous second. */
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
 * The part of a policy that falls to this instance: each request earns a part
 * of a repeat, and the slack comes in evenly over the window.
 */
struct RetryShare {
  double retries = 0;
  TimePoint updated{};
  bool started = false;
};

void CountRequest(RetryShare& share, const RetryPolicy& policy);
bool MayRetry(RetryShare& share,
              const RetryPolicy& policy,
              int instances,
              TimePoint now);
void CountRetry(RetryShare& share);

/** What the attempts of all requests share. */
struct AttemptTable {
  mutable OrderedMutex mutex{LockRank::kConnection};
  RetryBudget budget;
  /** Set if the fleet's repeats of each service are bounded together. */
  std::optional<RetryPolicy> policy;
  std::unordered_map<ServiceId, RetryShare> shares;
  /** Instances that share the slack of the policy. */
  int instances = 1;
};

/** Counts a request, which earns a part of a repeat. */
void BeginRequest(AttemptTable& table, const ServiceId& service, TimePoint now);

/** Takes one repeat from the budget, or says that none is left. */
bool TakeRetry(AttemptTable& table, const ServiceId& service, TimePoint now);

void SetInstanceCount(AttemptTable& table, int instances);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_ATTEMPT_TABLE_H_
