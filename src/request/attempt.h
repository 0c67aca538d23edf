#ifndef REQUEST_ATTEMPT_H_
#define REQUEST_ATTEMPT_H_

#include <optional>
#include <string_view>

#include "process/clock.h"
#include "process/error_kind.h"
#include "process/servers/server_table.h"
#include "version/document.h"

namespace mangodoor {

/** Properties of a request that decide whether it may be sent again. */
struct RequestTraits {
  bool idempotent = false;
  bool has_body = false;
  /** Limit of attempts, including the first. */
  int max_attempts = 4;
};

/** How an attempt ended, and how far it got. */
struct AttemptReport {
  enum class End {
    /** The head of a response that can be forwarded has arrived. */
    kResponse,
    /** The status of the response is 502, 503 or 504. */
    kUnavailable,
    /** The response says that the server did not run the request. */
    kRefusedByServer,
    /**
     * Before the request was sent, its server went out of use, or became cold
     * and may now get fewer requests; see MayStillSend().
     */
    kServerWithdrawn,
    /** The authorisation check before sending failed; `error` says why. */
    kRequestRejected,
    kNoConnection,
    kConnectionLost,
    kBadResponse,
    kDeadline,
    kCallerGone,
    /** The caller's body is malformed or too slow; `error` says which. */
    kCallerFault,
    /** This instance cancelled the attempt, usually because another one won. */
    kCancelled,
  };
  End end = End::kConnectionLost;
  /** Sending has begun, even if no byte reached the server. */
  bool bytes_sent = false;
  /** Streaming of the body has begun, so the body cannot be sent again. */
  bool body_dropped = false;
  /** Writing the response to the caller has begun. */
  bool response_begun = false;
  ErrorKind error = ErrorKind::kInternal;
};

/** All attempts of a request so far. */
struct AttemptHistory {
  int attempts = 0;
  int hedges = 0;
  /**
   * True once an attempt sent bytes and its server did not report the request
   * as not run.
   */
  bool may_have_run = false;
  bool body_dropped = false;
};

/** What to do after an attempt. */
struct AttemptDecision {
  enum class Step { kForward, kRetry, kError, kCloseCaller };
  Step step = Step::kError;
  /** True if the retry counts against the retry budget. */
  bool spends_budget = false;
  ErrorKind error = ErrorKind::kInternal;
  Outcome outcome = Outcome::kUnknown;
};

/**
 * The error that a request is answered with. Its outcome is "not run" only if
 * that is certain.
 */
struct ErrorPlan {
  ErrorKind error = ErrorKind::kInternal;
  Outcome outcome = Outcome::kUnknown;
  /** Time after which a refused caller should retry. */
  std::optional<Duration> retry_after = std::nullopt;
};

/**
 * True if the route's retry rule declares all its requests idempotent, or if it
 * leaves the decision to the method and `method` is idempotent.
 */
bool IsIdempotent(std::string_view method, const Route& route);

/** Returns the history with one more attempt. */
AttemptHistory AddAttempt(AttemptHistory history, const AttemptReport& report);

/**
 * Decides what follows the attempt that ended last; `history` includes it.
 * `remaining` is the time to the deadline; `budget_left` says whether the retry
 * budget allows one more retry.
 */
AttemptDecision DecideAfterAttempt(const RequestTraits& request,
                                   const AttemptHistory& history,
                                   const AttemptReport& report,
                                   Duration remaining,
                                   bool budget_left);

/**
 * The error to answer with when `error` occurs after the attempts in `history`.
 */
ErrorPlan PlanError(ErrorKind error, const AttemptHistory& history);

/**
 * True if a second attempt may run in parallel with the first. The retry budget
 * is checked separately.
 */
bool MayHedge(const RequestTraits& request,
              const AttemptHistory& history,
              Duration remaining);

/** The result of an attempt that the server table records. */
AttemptResult::End ResultOf(const AttemptReport& report, int http_status);

}  // namespace mangodoor

#endif  // REQUEST_ATTEMPT_H_
