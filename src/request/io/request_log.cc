#include "request/io/request_log.h"

#include <cmath>
#include <utility>

#include "process/io/log.h"

namespace mangodoor {
namespace {

// At some 500 bytes a line, a busy instance writes 50 kB a second at most.
constexpr int kLinesPerSecond = 100;
constexpr std::chrono::seconds kSecond{1};

double Milliseconds(Duration duration) {
  // A tenth of a millisecond is precise enough, and keeps lines short.
  const double tenths =
      std::chrono::duration<double, std::milli>(duration).count() * 10;
  return std::round(tenths) / 10;
}

}  // namespace

bool RequestLog::MayWrite() {
  int left_out = 0;
  bool may = false;
  {
    OrderedLock lock(mutex_);
    const TimePoint now = clock_.Now();
    if (now - second_start_ >= kSecond) {
      second_start_ = now;
      written_ = 0;
      left_out = std::exchange(left_out_, 0);
    }
    may = written_ < kLinesPerSecond;
    ++(may ? written_ : left_out_);
  }
  if (left_out > 0)
    Log(LogLevel::kWarning, "requests_not_logged", {{"count", left_out}});
  return may;
}

void RequestLog::Write(const RequestTrace& trace) {
  if (!MayWrite())
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
  Log(LogLevel::kInfo, "request", fields);
}

}  // namespace mangodoor
