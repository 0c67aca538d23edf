#include "process/load/request_result.h"

#include "process/error_kind.h"

namespace mangodoor {
namespace {

constexpr int kFirstServerError = 500;

// True if a retry can succeed. Other statuses, such as 403 for an unknown key,
// would be the same again.
bool IsTransient(int http_status) {
  return http_status == 408 || http_status == 429 || http_status == 503 ||
         http_status == 504;
}

}  // namespace

bool IsServed(const RequestAttempt& attempt) {
  return attempt.end == RequestAttempt::End::kResponse &&
         attempt.error.empty() && attempt.http_status < kFirstServerError;
}

bool IsRefusal(const RequestAttempt& attempt) {
  return attempt.end == RequestAttempt::End::kResponse &&
         attempt.outcome == OutcomeName(Outcome::kNotRun);
}

bool MayRetry(const RequestAttempt& attempt, bool idempotent) {
  switch (attempt.end) {
    case RequestAttempt::End::kNotSent:
      return true;
    case RequestAttempt::End::kBroken:
      return idempotent;
    case RequestAttempt::End::kResponse:
      return IsRefusal(attempt) && IsTransient(attempt.http_status);
  }
  return false;
}

bool IsIdempotentMethod(const std::string& method) {
  return method == "GET" || method == "HEAD" || method == "OPTIONS" ||
         method == "PUT" || method == "DELETE";
}

}  // namespace mangodoor
