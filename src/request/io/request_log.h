#ifndef REQUEST_IO_REQUEST_LOG_H_
#define REQUEST_IO_REQUEST_LOG_H_

#include <atomic>

#include "process/clock.h"
#include "process/ordered_mutex.h"
#include "request/request_trace.h"

namespace mangodoor {

/**
 * Writes a line for each request, at most a fixed number a second; the rest is
 * counted, and the number logged once a second. All functions may be called on
 * any thread.
 */
class RequestLog {
 public:
  explicit RequestLog(const Clock& clock) : clock_(clock) {}

  void Write(const RequestTrace& trace);

 private:
  bool MayWrite();

  const Clock& clock_;
  OrderedMutex mutex_{LockRank::kAudit};
  // Guarded by `mutex_`.
  TimePoint second_start_{};
  int written_ = 0;
  int left_out_ = 0;
};

}  // namespace mangodoor

#endif  // REQUEST_IO_REQUEST_LOG_H_
