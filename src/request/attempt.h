#ifndef REQUEST_ATTEMPT_H_
#define REQUEST_ATTEMPT_H_

#include <optional>
#include <string_view>

#include "process/clock.h"
#include "process/error_kind.h"
#include "process/servers/server_table.h"
#include "version/document.h"

namespace mangodoor {

/** What decides whether a request may be sent again. */
struct RequestTraits {
  bool idempotent = false;
  bool has_body = false;
  /** Backend servers that the request may be sent to. */
  int max_attempts = 4;
};

/** How far an attempt came, and how it ended. */
struct AttemptReport {
  enum class End {
    /** The head of a response arrived that is passed on. */
    kResponse,
    /** A response of 502, 503 or 504. */
    kUnavailable,
    /** A response of 503 that says the request was not run. */
    kRefusedByServer,
    /** The server may no longer be sent requests. */
    kServerWithdrawn,
    /** The check before the first byte failed; `error` says why. */
    kRequestRejected,
    kNoConnection,
    kConnectionLost,
    kBadResponse,
    kDeadline,
    kCallerGone,
    /** The caller's body is malformed or too slow; `error` says which. */
    kCallerFault,
    /** Another attempt won. */
    kCancelled,
  };
  End end = End::kConnectionLost;
  /** At least one byte was handed to the socket. */
  bool bytes_sent = false;
  /** Part of the body was sent that is no longer held. */
  bool body_dropped = false;
  /** At least one byte of the response was passed on to the caller. */
  bool response_begun = false;
  ErrorKind error = ErrorKind::kInternal;
};

/** All attempts of a request up to now. */
struct AttemptHistory {
  int attempts = 0;
  int hedges = 0;
  /** True once an attempt was sent that no server said it did not run. */
  bool may_have_run = false;
  bool body_dropped = false;
};

/** What to do after an attempt. */
struct AttemptDecision {
  enum class Step { kForward, kRetry, kError, kCloseCaller };
  Step step = Step::kError;
  /** The repeat counts against the retry budget. */
  bool spends_budget = false;
  ErrorKind error = ErrorKind::kInternal;
  Outcome outcome = Outcome::kUnknown;
};

/** An error answer; its outcome is never "not run" unless that is certain. */
struct ErrorPlan {
  ErrorKind error = ErrorKind::kInternal;
  Outcome outcome = Outcome::kUnknown;
  /** When a caller that was refused does best to come again. */
  std::optional<Duration> retry_after = std::nullopt;
};

/** Idempotent by its method, or because the route says so. */
bool IsIdempotent(std::string_view method, const Route& route);

/** The history with one more attempt. */
AttemptHistory AddAttempt(AttemptHistory history, const AttemptReport& report);

/**
 * Decides on the attempt that ended last; `history` includes it. `remaining`
 * is the time to the deadline; `budget_left` says whether the retry budget
 * allows one more repeat.
 */
AttemptDecision DecideAfterAttempt(const RequestTraits& request,
                                   const AttemptHistory& history,
                                   const AttemptReport& report,
                                   Duration remaining,
                                   bool budget_left);

/** The answer for `error`, given what was sent before. */
ErrorPlan PlanError(ErrorKind error, const AttemptHistory& history);

/**
 * True if a second attempt may run beside the first. The budget is asked
 * after this.
 */
bool MayHedge(const RequestTraits& request,
              const AttemptHistory& history,
              Duration remaining);

/** What the server table learns from an attempt. */
AttemptResult::End ResultOf(const AttemptReport& report, int http_status);

}  // namespace mangodoor

#endif  // REQUEST_ATTEMPT_H_
