#ifndef REQUEST_IO_REQUEST_LOG_H_
#define REQUEST_IO_REQUEST_LOG_H_

#include "process/clock.h"
#include "process/io/line_limiter.h"
#include "request/request_trace.h"

namespace mangodoor {

/**
 * Logs a line for each request, up to a fixed number a second. Further requests
 * are only counted, and their number is logged at most once a second. All
 * functions can be called on any thread.
 */
class RequestLog {
 public:
  explicit RequestLog(const Clock& clock);

  void Write(const RequestTrace& trace);

 private:
  const Clock& clock_;
  LineLimiter limiter_;
};

}  // namespace mangodoor

#endif  // REQUEST_IO_REQUEST_LOG_H_
