#include "soak_fleet/soak_record.h"

#include <algorithm>

namespace mangodoor {
namespace {

// The users require kInForceBound and kEvacuationBound. kSettleTime extends
// each fault period; kRollbackSlack is the time that a request takes on the
// test machine.
constexpr Duration kInForceBound = std::chrono::milliseconds(2000);
constexpr Duration kEvacuationBound = std::chrono::milliseconds(5000);
constexpr Duration kSettleTime = std::chrono::milliseconds(3000);
// Time limit of the routes, and how much later a request may have no answer.
constexpr Duration kRouteTimeout = std::chrono::milliseconds(2000);
constexpr Duration kAnswerSlack = std::chrono::milliseconds(500);
constexpr Duration kRollbackSlack = std::chrono::milliseconds(250);

// Memory of the smallest machine of the users.
constexpr uint64_t kMemoryBound = uint64_t{160} * 1024 * 1024;

// Part of the bytes that a violation shows.
constexpr size_t kShownBytes = 120;
// Stand-in servers have ids that begin with this, and so do their bodies.
constexpr char kServerIdPrefix[] = "i-";

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

bool StartsWith(const std::string& text, const std::string& begin) {
  return text.compare(0, begin.size(), begin) == 0;
}

/** One line, without characters that a terminal would interpret. */
std::string Shown(const std::string& bytes) {
  std::string text;
  for (const char c : bytes.substr(0, kShownBytes)) {
    const bool printable = c >= ' ' && c <= '~';
    text += printable ? std::string(1, c) : (c == '\n' ? "\\n" : "\\.");
  }
  return text;
}

/** The id of a request and when it was sent, for messages. */
std::string Named(const SoakRecord& record, const ObservedRequest& request) {
  const auto offset = std::chrono::duration_cast<std::chrono::milliseconds>(
      request.sent_at - record.started_at);
  return request.id + " (sent at " + std::to_string(offset.count()) + " ms)";
}

/** The statuses that servers sent for a request, for messages. */
std::string SentStatuses(const SoakRecord& record, const std::string& id) {
  std::string text;
  const auto range = record.responses.equal_range(id);
  for (auto it = range.first; it != range.second; ++it)
    text +=
        " " + it->second.server_id + "=" + std::to_string(it->second.status);
  return text.empty() ? "no server responded" : "servers sent" + text;
}

bool MeansNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}

void CheckRequests(const SoakRecord& record, Violations& violations) {
  for (const ObservedRequest& request : record.requests) {
    const size_t runs = record.runs.count(request.id);
    if (!request.idempotent && runs > 1)
      violations.push_back(Named(record, request) + " ran " +
                           std::to_string(runs) + " times; " +
                           SentStatuses(record, request.id));
    if (!request.idempotent && runs > 0 && MeansNotRun(request.status)) {
      violations.push_back(Named(record, request) + " was refused with " +
                           std::to_string(request.status) + " and ran; " +
                           SentStatuses(record, request.id));
    }
  }
}

/** An answer is final if it is complete or its connection has ended. */
void CheckFinalAnswers(const SoakRecord& record, Violations& violations) {
  for (const ObservedRequest& request : record.requests) {
    const Duration took = request.ended_at - request.sent_at;
    if (took <= kRouteTimeout + kAnswerSlack ||
        !IsUndisturbed(record, request.instance, request.sent_at,
                       request.ended_at))
      continue;
    violations.push_back(
        Named(record, request) + " had no final answer after " +
        std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(took)
                .count()) +
        " ms at instance " + std::to_string(request.instance));
  }
}

bool AnsweredBy(const SoakRecord& record,
                const ObservedRequest& request,
                const std::string& server_id) {
  const auto range = record.responses.equal_range(request.id);
  return std::any_of(range.first, range.second, [&](const auto& response) {
    return response.second.server_id == server_id &&
           response.second.status == request.status;
  });
}

/** The reason why a response must not have been sent; empty if there is none.
 */
std::string FaultOfResponse(const SoakRecord& record,
                            const ObservedRequest& request) {
  const bool success = request.status / 100 == 2;
  const std::string signature_end = "." + request.id;
  if (!request.response_id.empty() && request.response_id != request.id)
    return "got the response to another request, " + request.response_id;
  if (success && request.response_id.empty())
    return "got a success without its id";
  if (success && request.signature.empty())
    return "got a success without signature";
  if (request.signature.empty()) {
    return StartsWith(request.body.begin, kServerIdPrefix)
               ? "got a server's bytes without signature"
               : "";
  }
  const size_t end = request.signature.find(signature_end);
  if (end == std::string::npos ||
      end + signature_end.size() != request.signature.size())
    return "got another signature, " + request.signature;
  const std::string server_id = request.signature.substr(0, end);
  if (!AnsweredBy(record, request, server_id))
    return "got a status that its server did not send";
  const std::string expected =
      MakeBody({server_id, request.path, request.id, request.status});
  if (request.method != "HEAD" && !(DigestOf(expected) == request.body))
    return "got another body";
  return "";
}

void CheckResponses(const SoakRecord& record, Violations& violations) {
  for (const ObservedRequest& request : record.requests) {
    if (!request.malformed.empty())
      violations.push_back(
          Named(record, request) +
          " got bytes that are not a response: " + request.malformed);
    if (request.status == 0)
      continue;
    const std::string fault = FaultOfResponse(record, request);
    if (fault.empty())
      continue;
    violations.push_back(Named(record, request) + " " + fault + ": " +
                         request.method + " " + request.path + ", status " +
                         std::to_string(request.status) + ", " +
                         std::to_string(request.body.size) +
                         " bytes: " + Shown(request.body.begin) + "; " +
                         SentStatuses(record, request.id));
  }
  for (const StrayBytes& stray : record.stray_bytes) {
    violations.push_back(std::to_string(stray.bytes.size()) +
                         " bytes followed the response to " + stray.after_id +
                         ": " + Shown(stray.bytes));
  }
}

void CheckRuns(const SoakRecord& record, Violations& violations) {
  std::map<std::string, const ObservedRequest*> sent;
  for (const ObservedRequest& request : record.requests)
    sent[request.id] = &request;
  for (const auto& [id, run] : record.runs) {
    const auto found = sent.find(id);
    if (found == sent.end()) {
      violations.push_back(id + " ran, and no caller sent it");
      continue;
    }
    const ObservedRequest& request = *found->second;
    if (run.method != request.method || run.path != request.path ||
        run.body_hash != request.sent_body_hash)
      violations.push_back(id + " ran with another method, path or body: " +
                           run.method + " " + Shown(run.path));
  }
  if (record.keys_seen > 0)
    violations.push_back(std::to_string(record.keys_seen) +
                         " keys reached servers");
}

void CheckMemory(const SoakRecord& record, Violations& violations) {
  for (const auto& [process, bytes] : record.peak_memory) {
    if (bytes > kMemoryBound) {
      violations.push_back("instance " + std::to_string(process.first) +
                           " used " + std::to_string(bytes) +
                           " bytes of memory");
    }
  }
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
  CheckResponses(record, violations);
  CheckRequests(record, violations);
  CheckRuns(record, violations);
  CheckInForce(record, violations);
  CheckRollback(record, violations);
  CheckEvacuations(record, violations);
  CheckMemory(record, violations);
  CheckFinalAnswers(record, violations);
  return violations;
}

}  // namespace mangodoor
