#include "request/io/request_log.h"

#include "process/io/log.h"

namespace mangodoor {
namespace {

// At about 500 bytes a line, an instance writes at most 50 kB a second.
constexpr int kLinesPerSecond = 100;

}  // namespace

RequestLog::RequestLog(const Clock& clock)
    : clock_(clock), limiter_(clock, kLinesPerSecond) {}

void RequestLog::Write(const RequestTrace& trace) {
  const LineLimiter::Admission admission = limiter_.Admit();
  if (admission.dropped > 0)
    Log(LogLevel::kWarning, "requests_not_logged",
        {{"count", admission.dropped}});
  if (!admission.admitted)
    return;
  std::vector<LogField> fields = {
      {"id", trace.id},
      {"caller", trace.caller},
      {"route", trace.host + trace.path_prefix},
      {"service", trace.service.value()},
      {"account", trace.client_account.value()},
      {"version", trace.version},
      {"status", trace.status},
      {"total_ms", Milliseconds(clock_.Now() - trace.began)},
      {"admission_ms", Milliseconds(trace.admission)}};
  if (trace.deadline)
    fields.emplace_back("deadline_ms", Milliseconds(*trace.deadline));
  if (trace.target)
    fields.emplace_back("target_ms", Milliseconds(*trace.target));
  if (trace.error) {
    fields.emplace_back("error", AnswerFor(*trace.error).name);
    fields.emplace_back("outcome", OutcomeName(trace.outcome));
  }
  if (!trace.attempts.empty())
    fields.emplace_back("attempts", Describe(trace.attempts));
  if (!trace.response_faults.records.empty())
    fields.emplace_back("response_faults", Describe(trace.response_faults));
  Log(LogLevel::kInfo, "request", fields);
}

}  // namespace mangodoor
