#ifndef PROCESS_IO_SHARES_LOG_H_
#define PROCESS_IO_SHARES_LOG_H_

#include <optional>

#include "process/clock.h"
#include "process/io/line_limiter.h"
#include "process/servers/instance_shares.h"

namespace mangodoor {

/**
 * Logs the counts behind the shares of this instance when they have changed, at
 * most once a second. A change within that second is logged after it, unless
 * it has been reverted.
 */
class SharesLog {
 public:
  explicit SharesLog(const Clock& clock);

  /** Called regularly with the current shares. */
  void Write(const InstanceShares& shares, const DataCentreId& own_data_centre);

 private:
  LineLimiter limiter_;
  std::optional<ShareCounts> logged_;
};

}  // namespace mangodoor

#endif  // PROCESS_IO_SHARES_LOG_H_
