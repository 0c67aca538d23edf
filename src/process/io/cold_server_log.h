#ifndef PROCESS_IO_COLD_SERVER_LOG_H_
#define PROCESS_IO_COLD_SERVER_LOG_H_

#include <vector>

#include "process/clock.h"
#include "process/io/line_limiter.h"
#include "process/servers/cold_phase.h"

namespace mangodoor {

/**
 * Logs a line for each beginning and end of a server's cold phase, up to a
 * fixed number a second. All functions can be called on any thread.
 */
class ColdServerLog {
 public:
  explicit ColdServerLog(const Clock& clock);

  void Write(const std::vector<ColdPhaseEvent>& events);

 private:
  void WriteOne(const ColdPhaseEvent& event);

  LineLimiter limiter_;
};

}  // namespace mangodoor

#endif  // PROCESS_IO_COLD_SERVER_LOG_H_
