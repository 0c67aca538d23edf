#include "soak_fleet/soak_record.h"

#include <algorithm>
#include <set>

namespace mangodoor {
namespace {

// The users' bounds, and the time that a call needs on this machine.
constexpr Duration kInForce = std::chrono::milliseconds(2000);
constexpr Duration kEvacuated = std::chrono::milliseconds(5000);
constexpr Duration kStable = std::chrono::milliseconds(3000);
constexpr Duration kRollbackSlack = std::chrono::milliseconds(250);

using Broken = std::vector<std::string>;

bool IsInTouch(const SoakRecord& record,
               int instance,
               TimePoint from,
               TimePoint to) {
  return std::none_of(
      record.troubles.begin(), record.troubles.end(),
      [&](const Trouble& trouble) {
        const bool concerned =
            trouble.instance == Trouble::kAll || trouble.instance == instance;
        return concerned && trouble.from <= to &&
               (trouble.to == TimePoint::max() || trouble.to + kStable >= from);
      });
}

int RunsOf(const SoakRecord& record, const std::string& id) {
  const auto range = record.runs.equal_range(id);
  int runs = 0;
  for (auto it = range.first; it != range.second; ++it)
    runs += it->second.count;
  return runs;
}

bool PromisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void CheckCalls(const SoakRecord& record, Broken& broken) {
  for (const SeenCall& call : record.calls) {
    const int runs = RunsOf(record, call.id);
    if (!call.idempotent && runs > 1)
      broken.push_back(call.id + " ran " + std::to_string(runs) + " times");
    if (!call.idempotent && runs > 0 && PromisesNotRun(call.status)) {
      broken.push_back(call.id + " was refused with " +
                       std::to_string(call.status) + " and ran");
    }
    const std::string end = " " + call.path;
    const bool own =
        call.body.size() > end.size() &&
        call.body.compare(call.body.size() - end.size(), end.size(), end) == 0;
    if (call.status == 200 && !own)
      broken.push_back(call.id + " got another answer: " + call.body);
  }
}

void CheckRuns(const SoakRecord& record, Broken& broken) {
  std::set<std::string> known;
  for (const SeenCall& call : record.calls)
    known.insert(call.id);
  for (const auto& [id, run] : record.runs) {
    if (known.count(id) == 0)
      broken.push_back(id + " ran, and no caller sent it");
  }
  if (record.keys_seen > 0)
    broken.push_back(std::to_string(record.keys_seen) +
                     " keys reached servers");
}

void CheckInForce(const SoakRecord& record, Broken& broken) {
  for (const SeenVersion& seen : record.versions) {
    const auto published = std::find_if(
        record.published.begin(), record.published.end(),
        [&](const auto& one) { return one.version == seen.version; });
    if (seen.in_force || published == record.published.end() ||
        seen.answered >= published->replaced ||
        seen.asked - published->acked <= kInForce)
      continue;
    if (IsInTouch(record, seen.instance,
                  std::min(published->acked, seen.asked - kStable),
                  seen.asked)) {
      broken.push_back("version " + std::to_string(seen.version) +
                       " is not in force at instance " +
                       std::to_string(seen.instance) + " in time");
    }
  }
}

void CheckRegress(const SoakRecord& record, Broken& broken) {
  std::map<std::pair<int, int>, std::map<uint64_t, TimePoint>> first_seen;
  for (const SeenVersion& seen : record.versions) {
    auto& versions = first_seen[{seen.instance, seen.lifetime}];
    const auto before = versions.find(seen.version);
    const auto published = std::find_if(
        record.published.begin(), record.published.end(),
        [&](const auto& one) { return one.version == seen.version; });
    const bool current = published != record.published.end() &&
                         seen.answered < published->replaced;
    if (seen.in_force) {
      versions.emplace(seen.version, seen.asked);
    } else if (current && before != versions.end() &&
               seen.asked - before->second > kRollbackSlack) {
      broken.push_back("version " + std::to_string(seen.version) +
                       " was in force at instance " +
                       std::to_string(seen.instance) + " and is not any more");
    }
  }
}

void CheckEvacuations(const SoakRecord& record, Broken& broken) {
  for (const Evacuation& evacuation : record.evacuations) {
    for (const SeenCall& call : record.calls) {
      if (call.sent < evacuation.acked + kEvacuated ||
          call.ended >= evacuation.lifted ||
          !IsInTouch(record, call.instance, evacuation.acked, call.sent))
        continue;
      const auto range = record.runs.equal_range(call.id);
      for (auto it = range.first; it != range.second; ++it) {
        if (it->second.zone == evacuation.zone)
          broken.push_back(call.id + " ran in an evacuated zone");
      }
    }
  }
}

}  // namespace

std::vector<std::string> BrokenPromises(const SoakRecord& record) {
  Broken broken;
  CheckCalls(record, broken);
  CheckRuns(record, broken);
  CheckInForce(record, broken);
  CheckRegress(record, broken);
  CheckEvacuations(record, broken);
  return broken;
}

}  // namespace mangodoor
