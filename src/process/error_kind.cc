#include "process/error_kind.h"

#include <array>

namespace mangodoor {
namespace {

constexpr std::array<ErrorAnswer, 19> kAnswers = {{
    {ErrorKind::kMalformedRequest, 400, "malformed_request", Outcome::kNotRun,
     false},
    {ErrorKind::kHeaderTooLarge, 431, "header_too_large", Outcome::kNotRun,
     false},
    {ErrorKind::kRequestTimeout, 408, "request_timeout", Outcome::kNotRun,
     true},
    {ErrorKind::kUnsupportedRequest, 501, "unsupported_request",
     Outcome::kNotRun, false},
    {ErrorKind::kRouteUnknown, 404, "route_unknown", Outcome::kNotRun, false},
    {ErrorKind::kKeyMissing, 401, "key_missing", Outcome::kNotRun, false},
    {ErrorKind::kKeyUnknown, 403, "key_unknown", Outcome::kNotRun, false},
    {ErrorKind::kRateExceeded, 429, "rate_exceeded", Outcome::kNotRun, true},
    {ErrorKind::kQueueFull, 503, "queue_full", Outcome::kNotRun, true},
    {ErrorKind::kDeadlineExceeded, 504, "deadline_exceeded", Outcome::kNotRun,
     true},
    {ErrorKind::kNoServer, 503, "no_server", Outcome::kNotRun, true},
    {ErrorKind::kConfigurationMissing, 503, "configuration_missing",
     Outcome::kNotRun, true},
    {ErrorKind::kConfigurationStale, 503, "configuration_stale",
     Outcome::kNotRun, true},
    {ErrorKind::kStopping, 503, "stopping", Outcome::kNotRun, true},
    {ErrorKind::kBackendRefused, 503, "backend_refused", Outcome::kNotRun,
     true},
    {ErrorKind::kBackendUnreachable, 503, "backend_unreachable",
     Outcome::kNotRun, true},
    {ErrorKind::kBackendBroken, 502, "backend_broken", Outcome::kUnknown,
     false},
    {ErrorKind::kBackendTimeout, 504, "backend_timeout", Outcome::kUnknown,
     false},
    {ErrorKind::kInternal, 500, "internal", Outcome::kUnknown, false},
}};

}  // namespace

const ErrorAnswer& AnswerFor(ErrorKind kind) {
  for (const ErrorAnswer& answer : kAnswers) {
    if (answer.kind == kind)
      return answer;
  }
  return kAnswers.back();
}

const char* OutcomeName(Outcome outcome) {
  switch (outcome) {
    case Outcome::kNotRun:
      return "not-run";
    case Outcome::kUnknown:
      return "unknown";
    case Outcome::kDone:
      return "done";
  }
  return "unknown";
}

}  // namespace mangodoor
