#include "process/io/shares_log.h"

#include "process/io/log.h"

namespace mangodoor {
namespace {

constexpr int kLinesPerSecond = 1;

}  // namespace

SharesLog::SharesLog(const Clock& clock) : limiter_(clock, kLinesPerSecond) {}

void SharesLog::Write(const InstanceShares& shares,
                      const DataCentreId& own_data_centre) {
  const ShareCounts counts = CountsOf(shares, own_data_centre);
  if (counts == logged_ || !limiter_.Admit().admitted)
    return;
  logged_ = counts;
  Log(LogLevel::kInfo, "shares_changed",
      {{"data_centre", own_data_centre.value()},
       {"instances", counts.instances},
       {"advertised", counts.advertised_instances},
       {"all_instances", counts.all_instances},
       {"is_advertised", counts.is_advertised},
       {"granted", Rounded(counts.granted)},
       {"share", Rounded(shares.cold.own_data_centre)}});
}

}  // namespace mangodoor
