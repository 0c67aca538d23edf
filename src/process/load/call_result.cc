#include "process/load/call_result.h"

#include "process/error_kind.h"

namespace mangodoor {
namespace {

constexpr int kFirstServerError = 500;

// A caller that was told that its key is unknown gets the same answer again.
bool IsTransient(int http_status) {
  return http_status == 408 || http_status == 429 || http_status == 503 ||
         http_status == 504;
}

}  // namespace

bool IsServed(const CallAttempt& attempt) {
  return attempt.end == CallAttempt::End::kResponse && attempt.error.empty() &&
         attempt.http_status < kFirstServerError;
}

bool IsRefusal(const CallAttempt& attempt) {
  return attempt.end == CallAttempt::End::kResponse &&
         attempt.outcome == OutcomeName(Outcome::kNotRun);
}

bool MayRetry(const CallAttempt& attempt, bool idempotent) {
  switch (attempt.end) {
    case CallAttempt::End::kNotSent:
      return true;
    case CallAttempt::End::kBroken:
      return idempotent;
    case CallAttempt::End::kResponse:
      return IsRefusal(attempt) && IsTransient(attempt.http_status);
  }
  return false;
}

bool IsIdempotentMethod(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" ||
         method == "PUT" || method == "DELETE";
}

}  // namespace mangodoor
