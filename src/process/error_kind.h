#ifndef PROCESS_ERROR_KIND_H_
#define PROCESS_ERROR_KIND_H_

#include <stdexcept>
#include <string>

namespace mangodoor {

/** All errors that a caller can receive. */
enum class ErrorKind {
  kMalformedRequest,
  kHeaderTooLarge,
  kRequestTimeout,
  kUnsupportedRequest,
  kRouteUnknown,
  kKeyMissing,
  kKeyUnknown,
  kRateExceeded,
  kQueueFull,
  kDeadlineExceeded,
  kNoServer,
  kConfigurationMissing,
  kConfigurationStale,
  kStopping,
  kBackendRefused,
  kBackendUnreachable,
  kBackendBroken,
  kBackendTimeout,
  kInternal,
};

/** What is known about whether a request ran at a backend server. */
enum class Outcome { kNotRun, kUnknown, kDone };

/** The response to a caller for an error kind. */
struct ErrorAnswer {
  ErrorKind kind;
  int http_status;
  const char* name;
  Outcome outcome;
  bool caller_may_retry;
};

/** The response for `kind`, from the table of all error responses. */
const ErrorAnswer& AnswerFor(ErrorKind kind);

/** The value of the Mangodoor-Outcome header field. */
const char* OutcomeName(Outcome outcome);

/** An error with its kind and with a message for logs and operators. */
class Error : public std::runtime_error {
 public:
  Error(ErrorKind kind, const std::string& message)
      : std::runtime_error(message), kind_(kind) {}

  ErrorKind kind() const { return kind_; }

 private:
  ErrorKind kind_;
};

}  // namespace mangodoor

#endif  // PROCESS_ERROR_KIND_H_
