#ifndef REQUEST_IO_REQUEST_LOG_H_
#define REQUEST_IO_REQUEST_LOG_H_

#include <atomic>

#include "process/clock.h"
#include "process/ordered_mutex.h"
#include "request/request_trace.h"

namespace mangodoor {

/**
 * Logs a line for each request, up to a fixed number a second. Further requests
 * are only counted, and their number is logged at most once a second. All
 * functions can be called on any thread.
 */
class RequestLog {
 public:
  explicit RequestLog(const Clock& clock) : clock_(clock) {}

  void Write(const RequestTrace& trace);

 private:
  bool AdmitLine();

  const Clock& clock_;
  OrderedMutex mutex_{LockRank::kAudit};
  // Guarded by `mutex_`.
  TimePoint second_start_{};
  int written_ = 0;
  int not_logged_ = 0;
};

}  // namespace mangodoor

#endif  // REQUEST_IO_REQUEST_LOG_H_
