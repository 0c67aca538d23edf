#include "process/servers/server_score.h"

#include <algorithm>
#include <cmath>

namespace mangodoor {
namespace {

// The load of a server changes within milliseconds, so that a report says
// little after a few service times.
constexpr Duration kReportHalfLife = std::chrono::milliseconds(250);
// A report can be old on arrival by an unknown time, so its weight in the
// estimate is low.
constexpr double kReportTrust = 0.1;

// Another data centre adds about 1 ms to a request of 20 ms.
constexpr double kTieTolerance = 0.05;

}  // namespace

double ReportWeight(const LoadReport& report, TimePoint now) {
  if (report.others < 0)
    return 0;
  const double half_lives = std::chrono::duration<double>(now - report.at) /
                            std::chrono::duration<double>(kReportHalfLife);
  return kReportTrust * std::exp2(-std::max(0.0, half_lives));
}

double EstimateOthers(const LoadReport& report, double usual, TimePoint now) {
  const double weight = ReportWeight(report, now);
  return weight * report.others + (1 - weight) * usual;
}

double Score(int outstanding, double others, int slots, Duration latency) {
  const double load = (1 + outstanding + others) / std::max(1, slots);
  return Seconds(latency) * load;
}

bool IsTie(double a, double b) {
  return std::abs(a - b) <= kTieTolerance * std::max(a, b);
}

}  // namespace mangodoor
