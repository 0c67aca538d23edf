#include "process/servers/retry_table.h"

#include <algorithm>
#include <cmath>

namespace mangodoor {
namespace {

constexpr std::chrono::seconds kPeriod{1};
// 20% of recent requests, or up to 3 a second if that is more (design 5.5).
constexpr int kRequestsPerRetry = 5;
constexpr int kMinRetriesPerSecond = 3;

// Only this fraction of a fleet policy is used: its limit holds in any sliding
// window, and an instance's requests and retries can fall into different
// windows.
constexpr double kUsedFraction = 0.85;
// Retries that requests can save up at most.
constexpr double kMaxSavedRetries = 4;

/** The budget at `now`: counts older than the previous second are dropped. */
RetryBudget Advanced(RetryBudget budget, TimePoint now) {
  if (now < budget.second_start + kPeriod)
    return budget;
  const bool next_second = now < budget.second_start + 2 * kPeriod;
  budget.previous_requests = next_second ? budget.requests : 0;
  budget.previous_retries = next_second ? budget.retries : 0;
  budget.requests = 0;
  budget.retries = 0;
  budget.second_start = next_second ? budget.second_start + kPeriod : now;
  return budget;
}

double RecentRequests(const RetryShare& share,
                      const RetryPolicy& policy,
                      TimePoint now) {
  return share.recent_requests *
         std::exp(-Seconds(now - share.requests_at) / Seconds(policy.window));
}

// When a service fails, all instances use what they have saved up in the same
// window, in which its requests are not counted any more. Together it must fit
// into the part of the policy that is not used otherwise. Each instance may
// save up one retry, whatever its part.
double MaxSavedFromRequests(const RetryShare& share,
                            const RetryPolicy& policy,
                            const SlackDivision& division,
                            TimePoint now) {
  const double unused =
      (1 - kUsedFraction) * (policy.ratio * RecentRequests(share, policy, now) +
                             policy.fleet_slack / division.instances.count);
  return std::clamp(unused, std::max(0.0, 1 - share.from_slack),
                    kMaxSavedRetries);
}

}  // namespace

void CountRequest(RetryBudget& budget, TimePoint now) {
  budget = Advanced(budget, now);
  ++budget.requests;
}

bool MayRetry(const RetryBudget& budget, TimePoint now) {
  const RetryBudget current = Advanced(budget, now);
  const int requests = current.requests + current.previous_requests;
  const int retries = current.retries + current.previous_retries;
  return current.retries < kMinRetriesPerSecond ||
         retries < requests / kRequestsPerRetry;
}

void CountRetry(RetryBudget& budget, TimePoint now) {
  budget = Advanced(budget, now);
  ++budget.retries;
}

void CountRequest(RetryShare& share, const RetryPolicy& policy, TimePoint now) {
  share.recent_requests = RecentRequests(share, policy, now) + 1;
  share.requests_at = now;
  share.from_requests += policy.ratio * kUsedFraction;
}

bool MayRetry(RetryShare& share,
              const RetryPolicy& policy,
              const SlackDivision& division,
              TimePoint now) {
  const double slack =
      kUsedFraction * policy.fleet_slack / division.instances.count;
  const TimePoint from = std::max(share.slack_added_until, division.from);
  if (now > from) {
    share.from_slack +=
        slack / 2 * (Seconds(now - from) / Seconds(policy.window));
    share.slack_added_until = now;
  }
  share.from_slack = std::min(share.from_slack, std::max(1.0, slack / 2));
  share.from_requests = std::min(
      share.from_requests, MaxSavedFromRequests(share, policy, division, now));
  return share.from_requests + share.from_slack >= 1;
}

void CountRetry(RetryShare& share) {
  // Retries from requests are used first, since they cannot be saved up beyond
  // a few, and the rest is taken from the slack.
  const double from_requests = std::min(share.from_requests, 1.0);
  share.from_requests -= from_requests;
  share.from_slack -= 1 - from_requests;
}

void BeginRequest(RetryTable& table, const ServiceId& service, TimePoint now) {
  OrderedLock lock(table.mutex);
  if (table.policy)
    CountRequest(table.shares[service], *table.policy, now);
  else
    CountRequest(table.budget, now);
}

void SetInstanceCount(RetryTable& table, int known, TimePoint now) {
  OrderedLock lock(table.mutex);
  // A process that has just started may not know the other instances yet, and
  // does not know how much of its share the previous process has used.
  if (table.policy)
    table.division.from =
        std::min(table.division.from, now + table.policy->window);
  RecordInstanceCount(table.division.instances, known, now);
}

bool TakeRetry(RetryTable& table, const ServiceId& service, TimePoint now) {
  OrderedLock lock(table.mutex);
  if (table.policy) {
    RetryShare& share = table.shares[service];
    const bool allowed = MayRetry(share, *table.policy, table.division, now);
    if (allowed)
      CountRetry(share);
    return allowed;
  }
  if (!MayRetry(table.budget, now))
    return false;
  CountRetry(table.budget, now);
  return true;
}

}  // namespace mangodoor
