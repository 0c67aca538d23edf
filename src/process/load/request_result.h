#ifndef PROCESS_LOAD_REQUEST_RESULT_H_
#define PROCESS_LOAD_REQUEST_RESULT_H_

#include <string>

#include "process/clock.h"

namespace mangodoor {

/** How one attempt of a caller ended. */
struct RequestAttempt {
  enum class End {
    /** A whole response arrived. */
    kResponse,
    /** Nothing was sent. */
    kNotSent,
    /** The connection broke, or the time ended, after the first byte. */
    kBroken,
  };
  End end = End::kNotSent;
  int http_status = 0;
  /** Mangodoor-Error; empty if a backend server answered. */
  std::string error;
  /** Mangodoor-Outcome; empty if the response has none. */
  std::string outcome;
};

/** How a whole call, with its repeats, ended. */
struct RequestResult {
  RequestAttempt last;
  /** From the time at which the call was due. */
  Duration latency{};
  int attempts = 0;
};

/** True if a backend server's own response arrived, below status 500. */
bool IsServed(const RequestAttempt& attempt);

/** True if the call certainly did not run: the response says so. */
bool IsRefusal(const RequestAttempt& attempt);

/**
 * True if the call may be sent again: it did not run and waiting may help, or
 * it broke and its method may run twice.
 */
bool MayRetry(const RequestAttempt& attempt, bool idempotent);

/** True for GET, HEAD, OPTIONS, PUT and DELETE. */
bool IsIdempotentMethod(const std::string& method);

}  // namespace mangodoor

#endif  // PROCESS_LOAD_REQUEST_RESULT_H_
