#include "process/servers/work_model.h"

#include <algorithm>

namespace mangodoor {
namespace {

// A server may slow down once more than this fraction of its slots is used.
constexpr double kNearFullFraction = 0.8;

// Weight of a sample in the mean once there are enough samples.
constexpr double kMinWorkWeight = 0.05;
constexpr double kNearFullFactorWeight = 0.1;
constexpr double kMaxNearFullFactor = 4;

// Target latencies leave room for slow responses: they are assumed to be this
// multiple of the usual time.
constexpr int kTargetPerUsualWork = 3;
constexpr Duration kDefaultWork = std::chrono::milliseconds(50);

// More routes than any service has. At this limit all are dropped, among them
// the routes of earlier versions.
constexpr size_t kMaxRoutes = 1000;

Duration Scaled(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

void RecordUsualWork(WorkModel& model,
                     const std::string& name,
                     Duration usual) {
  if (model.routes.size() >= kMaxRoutes)
    model.routes.clear();
  RouteWork& route = model.routes[name];
  ++route.samples;
  const double weight = std::max(kMinWorkWeight, 1.0 / route.samples);
  route.mean += Scaled(usual - route.mean, weight);
}

}  // namespace

Duration ExpectedWork(const WorkModel& model,
                      const std::string& route,
                      Duration target) {
  const auto known = model.routes.find(route);
  if (known != model.routes.end())
    return known->second.mean;
  return target > Duration::zero() ? target / kTargetPerUsualWork
                                   : kDefaultWork;
}

void RecordLatency(WorkModel& model,
                   const PlacementRecord& placement,
                   Duration latency) {
  if (!placement.known || placement.slowness <= 0)
    return;
  const Duration usual = Scaled(latency, 1 / placement.slowness);
  if (!placement.near_full)
    return RecordUsualWork(model, placement.route, usual);
  const auto route = model.routes.find(placement.route);
  if (route == model.routes.end())
    return;
  const Duration mean = std::max(Duration(1), route->second.mean);
  const double factor = std::clamp(
      static_cast<double>(usual.count()) / static_cast<double>(mean.count()),
      0.5, kMaxNearFullFactor);
  model.near_full_factor +=
      kNearFullFactorWeight * (factor - model.near_full_factor);
}

bool IsNearFull(int others, int slots) {
  return others + 1 > kNearFullFraction * slots;
}

int BestConcurrency(const WorkModel& model, int slots) {
  const int below_near_full =
      std::max(1, static_cast<int>(kNearFullFraction * slots));
  return slots / std::max(1.0, model.near_full_factor) > below_near_full
             ? slots
             : below_near_full;
}

}  // namespace mangodoor
