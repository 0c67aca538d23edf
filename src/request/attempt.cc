#include "request/attempt.h"

#include <algorithm>
#include <array>

namespace mangodoor {
namespace {

using End = AttemptReport::End;
using Step = AttemptDecision::Step;

constexpr int kServerErrorStatus = 500;

AttemptDecision DecideError(ErrorKind error, const AttemptHistory& history) {
  const ErrorPlan plan = PlanError(error, history);
  return {Step::kError, false, plan.error, plan.outcome};
}

AttemptDecision DecideRetry(bool spends_budget) {
  AttemptDecision decision;
  decision.step = Step::kRetry;
  decision.spends_budget = spends_budget;
  return decision;
}

AttemptDecision DecideStep(Step step) {
  AttemptDecision decision;
  decision.step = step;
  return decision;
}

/** True if the earlier attempts allow the request to be sent again. */
bool IsRetryable(const RequestTraits& request, const AttemptHistory& history) {
  if (history.body_dropped || history.attempts >= request.max_attempts)
    return false;
  return request.idempotent || !history.may_have_run;
}

}  // namespace

bool IsIdempotent(std::string_view method, const Route& route) {
  constexpr std::array<std::string_view, 5> kIdempotentMethods = {
      "GET", "HEAD", "OPTIONS", "PUT", "DELETE"};
  if (route.retry_rule != RetryRule::kByMethod)
    return route.retry_rule == RetryRule::kAlways;
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   method) != kIdempotentMethods.end();
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
  // Once the caller has part of the response, only closing the connection shows
  // that the rest is missing.
  if (report.response_begun || report.end == End::kCallerGone)
    return DecideStep(Step::kCloseCaller);
  // An attempt that sent no byte put no load on a server, so retrying it does
  // not use the budget.
  const bool spends_budget = report.bytes_sent;
  const bool retry = remaining > Duration::zero() &&
                     IsRetryable(request, history) &&
                     (!spends_budget || budget_left);
  switch (report.end) {
    case End::kResponse:
      return DecideStep(Step::kForward);
    case End::kUnavailable:
      return retry ? DecideRetry(spends_budget) : DecideStep(Step::kForward);
    case End::kRefusedByServer:
      return retry ? DecideRetry(spends_budget)
                   : DecideError(ErrorKind::kBackendRefused, history);
    case End::kServerWithdrawn:
      return retry ? DecideRetry(spends_budget)
                   : DecideError(ErrorKind::kNoServer, history);
    case End::kNoConnection:
      return retry ? DecideRetry(spends_budget)
                   : DecideError(ErrorKind::kBackendUnreachable, history);
    case End::kConnectionLost:
    case End::kBadResponse:
    case End::kCancelled:
      return retry ? DecideRetry(spends_budget)
                   : DecideError(ErrorKind::kBackendBroken, history);
    case End::kDeadline:
      return DecideError(ErrorKind::kDeadlineExceeded, history);
    case End::kRequestRejected:
    case End::kCallerFault:
      return DecideError(report.error, history);
    case End::kCallerGone:
      break;
  }
  return DecideStep(Step::kCloseCaller);
}

ErrorPlan PlanError(ErrorKind error, const AttemptHistory& history) {
  const ErrorAnswer& answer = AnswerFor(error);
  if (!history.may_have_run || answer.outcome != Outcome::kNotRun)
    return {error, answer.outcome};
  // The status of the returned error must not promise that the request did not
  // run, as 408, 429 and 503 do.
  switch (error) {
    case ErrorKind::kDeadlineExceeded:
    case ErrorKind::kRequestTimeout:
      return {ErrorKind::kBackendTimeout, Outcome::kUnknown};
    case ErrorKind::kRateExceeded:
    case ErrorKind::kNoServer:
    case ErrorKind::kQueueFull:
    case ErrorKind::kConfigurationMissing:
    case ErrorKind::kConfigurationStale:
    case ErrorKind::kStopping:
    case ErrorKind::kBackendRefused:
    case ErrorKind::kBackendUnreachable:
      return {ErrorKind::kBackendBroken, Outcome::kUnknown};
    default:
      // The caller's fault or a failed authorisation check, found when the
      // request may already have run. The error stays the same, and only the
      // outcome changes.
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
