#ifndef PROCESS_LOAD_REQUEST_RESULT_H_
#define PROCESS_LOAD_REQUEST_RESULT_H_

#include <string>

#include "process/clock.h"

namespace mangodoor {

/** How one attempt of a request ended, as seen by the caller. */
struct RequestAttempt {
  enum class End {
    /** A complete response arrived. */
    kResponse,
    /** Nothing was sent, as no instance could be reached. */
    kNotSent,
    /** The connection broke or the time limit passed after sending began. */
    kBroken,
  };
  End end = End::kNotSent;
  int http_status = 0;
  /** Mangodoor-Error header; empty if a backend server answered. */
  std::string error;
  /** Mangodoor-Outcome header; empty if the response has none. */
  std::string outcome;
};

/** How a request ended, including its retries. */
struct RequestResult {
  RequestAttempt last;
  /** Time from when the request was due until its last attempt ended. */
  Duration latency{};
  int attempts = 0;
};

/** True if a response of a backend server with a status below 500 arrived. */
bool IsServed(const RequestAttempt& attempt);

/** True if the response states that the request did not run. */
bool IsRefusal(const RequestAttempt& attempt);

/**
 * True if the request may be sent again: it did not run and a later attempt can
 * succeed, or the connection broke and the method is idempotent.
 */
bool MayRetry(const RequestAttempt& attempt, bool idempotent);

/** True for GET, HEAD, OPTIONS, PUT and DELETE. */
bool IsIdempotentMethod(const std::string& method);

}  // namespace mangodoor

#endif  // PROCESS_LOAD_REQUEST_RESULT_H_
