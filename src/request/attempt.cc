#include "request/attempt.h"

#include <algorithm>
#include <array>

namespace mangodoor {
namespace {

using End = AttemptReport::End;
using Step = AttemptDecision::Step;

constexpr int kServerErrorStatus = 500;

AttemptDecision Fail(ErrorKind error, const AttemptHistory& history) {
  const ErrorPlan plan = PlanError(error, history);
  return {Step::kError, false, plan.error, plan.outcome};
}

AttemptDecision Repeat(bool spends_budget) {
  AttemptDecision decision;
  decision.step = Step::kRetry;
  decision.spends_budget = spends_budget;
  return decision;
}

AttemptDecision Only(Step step) {
  AttemptDecision decision;
  decision.step = step;
  return decision;
}

/** The request may be sent again as far as its earlier attempts allow. */
bool IsRepeatable(const RequestTraits& request, const AttemptHistory& history) {
  if (history.body_dropped || history.attempts >= request.max_attempts)
    return false;
  return request.idempotent || !history.may_have_run;
}

}  // namespace

bool IsIdempotent(std::string_view method, const Route& route) {
  constexpr std::array<std::string_view, 5> kMethods = {
      "GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
  if (route.retry_rule != RetryRule::kByMethod)
    return route.retry_rule == RetryRule::kAlways;
  return std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
}

AttemptHistory AddAttempt(AttemptHistory history, const AttemptReport& report) {
  ++history.attempts;
  history.body_dropped |= report.body_dropped;
  history.may_have_run |=
      report.bytes_sent && report.end != End::kRefusedByServer;
  return history;
}

AttemptDecision DecideAfterAttempt(const RequestTraits& request,
                                   const AttemptHistory& history,
                                   const AttemptReport& report,
                                   Duration remaining,
                                   bool budget_left) {
  // Once the caller has part of the response, only a cut tells it that the
  // rest is missing.
  if (report.response_begun || report.end == End::kCallerGone)
    return Only(Step::kCloseCaller);
  // Attempts of which no byte was sent put no load on a server.
  const bool spends = report.bytes_sent;
  const bool repeat = remaining > Duration::zero() &&
                      IsRepeatable(request, history) &&
                      (!spends || budget_left);
  switch (report.end) {
    case End::kResponse:
      return Only(Step::kForward);
    case End::kUnavailable:
      return repeat ? Repeat(spends) : Only(Step::kForward);
    case End::kRefusedByServer:
      return repeat ? Repeat(spends)
                    : Fail(ErrorKind::kBackendRefused, history);
    case End::kServerWithdrawn:
      return repeat ? Repeat(spends) : Fail(ErrorKind::kNoServer, history);
    case End::kNoConnection:
      return repeat ? Repeat(spends)
                    : Fail(ErrorKind::kBackendUnreachable, history);
    case End::kConnectionLost:
    case End::kBadResponse:
    case End::kCancelled:
      return repeat ? Repeat(spends) : Fail(ErrorKind::kBackendBroken, history);
    case End::kDeadline:
      return Fail(ErrorKind::kDeadlineExceeded, history);
    case End::kRequestRejected:
    case End::kCallerFault:
      return Fail(report.error, history);
    case End::kCallerGone:
      break;
  }
  return Only(Step::kCloseCaller);
}

ErrorPlan PlanError(ErrorKind error, const AttemptHistory& history) {
  const ErrorAnswer& answer = AnswerFor(error);
  if (!history.may_have_run || answer.outcome != Outcome::kNotRun)
    return {error, answer.outcome};
  switch (error) {
    case ErrorKind::kDeadlineExceeded:
      return {ErrorKind::kBackendTimeout, Outcome::kUnknown};
    case ErrorKind::kNoServer:
    case ErrorKind::kQueueFull:
    case ErrorKind::kBackendRefused:
    case ErrorKind::kBackendUnreachable:
      return {ErrorKind::kBackendBroken, Outcome::kUnknown};
    default:
      // The caller's own fault, found after a part of its body was sent.
      return {error, Outcome::kUnknown};
  }
}

bool MayHedge(const RequestTraits& request,
              const AttemptHistory& history,
              Duration remaining) {
  return request.idempotent && !request.has_body && history.hedges == 0 &&
         history.attempts == 0 && request.max_attempts > 1 &&
         remaining > Duration::zero();
}

AttemptResult::End ResultOf(const AttemptReport& report, int http_status) {
  switch (report.end) {
    case End::kResponse:
    case End::kUnavailable:
      return http_status >= kServerErrorStatus
                 ? AttemptResult::End::kServerError
                 : AttemptResult::End::kAnswered;
    case End::kRefusedByServer:
      return AttemptResult::End::kRefusedByServer;
    case End::kNoConnection:
      return AttemptResult::End::kConnectFailed;
    case End::kConnectionLost:
      return AttemptResult::End::kReset;
    case End::kBadResponse:
      return AttemptResult::End::kServerError;
    case End::kDeadline:
      return report.bytes_sent ? AttemptResult::End::kTimeout
                               : AttemptResult::End::kUnused;
    case End::kServerWithdrawn:
    case End::kRequestRejected:
      return AttemptResult::End::kUnused;
    case End::kCallerGone:
    case End::kCallerFault:
    case End::kCancelled:
      return report.bytes_sent ? AttemptResult::End::kCancelled
                               : AttemptResult::End::kUnused;
  }
  return AttemptResult::End::kUnused;
}

}  // namespace mangodoor
