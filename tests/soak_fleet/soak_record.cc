#include "soak_fleet/soak_record.h"

#include <algorithm>
#include <set>

namespace mangodoor {
namespace {

// The users require kInForceBound and kEvacuationBound. kSettleTime extends
// each fault period; kRollbackSlack is the time that a request takes on the
// test machine.
constexpr Duration kInForceBound = std::chrono::milliseconds(2000);
constexpr Duration kEvacuationBound = std::chrono::milliseconds(5000);
constexpr Duration kSettleTime = std::chrono::milliseconds(3000);
constexpr Duration kRollbackSlack = std::chrono::milliseconds(250);

using Violations = std::vector<std::string>;

bool IsUndisturbed(const SoakRecord& record,
                   int instance,
                   TimePoint from,
                   TimePoint to) {
  return std::none_of(record.fault_periods.begin(), record.fault_periods.end(),
                      [&](const FaultPeriod& fault_period) {
                        const bool is_affected =
                            fault_period.instance ==
                                FaultPeriod::kAllInstances ||
                            fault_period.instance == instance;
                        return is_affected && fault_period.from <= to &&
                               (fault_period.to == TimePoint::max() ||
                                fault_period.to + kSettleTime >= from);
                      });
}

int RunsOf(const SoakRecord& record, const std::string& id) {
  const auto range = record.runs.equal_range(id);
  int runs = 0;
  for (auto it = range.first; it != range.second; ++it)
    runs += it->second.count;
  return runs;
}

bool MeansNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void CheckRequests(const SoakRecord& record, Violations& violations) {
  for (const ObservedRequest& request : record.requests) {
    const int runs = RunsOf(record, request.id);
    if (!request.idempotent && runs > 1)
      violations.push_back(request.id + " ran " + std::to_string(runs) +
                           " times");
    if (!request.idempotent && runs > 0 && MeansNotRun(request.status)) {
      violations.push_back(request.id + " was refused with " +
                           std::to_string(request.status) + " and ran");
    }
    const std::string expected_end = " " + request.path;
    const bool is_own =
        request.body.size() > expected_end.size() &&
        request.body.compare(request.body.size() - expected_end.size(),
                             expected_end.size(), expected_end) == 0;
    if (request.status == 200 && !is_own)
      violations.push_back(request.id + " got another answer: " + request.body);
  }
}

void CheckRuns(const SoakRecord& record, Violations& violations) {
  std::set<std::string> sent_ids;
  for (const ObservedRequest& request : record.requests)
    sent_ids.insert(request.id);
  for (const auto& [id, run] : record.runs) {
    if (sent_ids.count(id) == 0)
      violations.push_back(id + " ran, and no caller sent it");
  }
  if (record.keys_seen > 0)
    violations.push_back(std::to_string(record.keys_seen) +
                         " keys reached servers");
}

void CheckInForce(const SoakRecord& record, Violations& violations) {
  for (const VersionCheck& check : record.version_checks) {
    const auto published =
        std::find_if(record.published.begin(), record.published.end(),
                     [&](const auto& candidate) {
                       return candidate.version == check.version;
                     });
    if (check.in_force || published == record.published.end() ||
        check.answered_at >= published->replaced_at ||
        check.sent_at - published->acked_at <= kInForceBound)
      continue;
    if (IsUndisturbed(
            record, check.instance,
            std::min(published->acked_at, check.sent_at - kSettleTime),
            check.sent_at)) {
      violations.push_back("version " + std::to_string(check.version) +
                           " is not in force at instance " +
                           std::to_string(check.instance) + " in time");
    }
  }
}

void CheckRollback(const SoakRecord& record, Violations& violations) {
  std::map<std::pair<int, int>, std::map<uint64_t, TimePoint>> first_seen;
  for (const VersionCheck& check : record.version_checks) {
    auto& first_in_force = first_seen[{check.instance, check.incarnation}];
    const auto before = first_in_force.find(check.version);
    const auto published =
        std::find_if(record.published.begin(), record.published.end(),
                     [&](const auto& candidate) {
                       return candidate.version == check.version;
                     });
    const bool current = published != record.published.end() &&
                         check.answered_at < published->replaced_at;
    if (check.in_force) {
      first_in_force.emplace(check.version, check.sent_at);
    } else if (current && before != first_in_force.end() &&
               check.sent_at - before->second > kRollbackSlack) {
      violations.push_back("version " + std::to_string(check.version) +
                           " was in force at instance " +
                           std::to_string(check.instance) +
                           " and is not any more");
    }
  }
}

void CheckEvacuations(const SoakRecord& record, Violations& violations) {
  for (const Evacuation& evacuation : record.evacuations) {
    for (const ObservedRequest& request : record.requests) {
      if (request.sent_at < evacuation.acked_at + kEvacuationBound ||
          request.ended_at >= evacuation.lifted_at ||
          !IsUndisturbed(record, request.instance, evacuation.acked_at,
                         request.sent_at))
        continue;
      const auto range = record.runs.equal_range(request.id);
      for (auto it = range.first; it != range.second; ++it) {
        if (it->second.zone == evacuation.zone)
          violations.push_back(request.id + " ran in an evacuated zone");
      }
    }
  }
}

}  // namespace

std::vector<std::string> FindViolations(const SoakRecord& record) {
  Violations violations;
  CheckRequests(record, violations);
  CheckRuns(record, violations);
  CheckInForce(record, violations);
  CheckRollback(record, violations);
  CheckEvacuations(record, violations);
  return violations;
}

}  // namespace mangodoor
