#include "process/servers/work_model.h"

#include <algorithm>
#include <cmath>

namespace mangodoor {
namespace {

// A server may slow down once more than this fraction of its slots is used.
constexpr double kNearFullFraction = 0.8;

// Weight of a sample in the mean once there are enough samples.
constexpr double kMinWorkWeight = 0.05;
constexpr double kNearFullFactorWeight = 0.1;
constexpr double kMaxNearFullFactor = 4;

// Servers that slow down when they are nearly full get no request that would
// show whether they still do, so what was learned of it fades.
constexpr Duration kNearFullTimeConstant = std::chrono::seconds(60);

// Target latencies leave room for slow responses: they are assumed to be this
// multiple of the usual time.
constexpr int kTargetPerUsualWork = 3;
constexpr Duration kDefaultWork = std::chrono::milliseconds(50);

// The fastest requests take about half of the usual time.
constexpr double kFastestWorkFraction = 0.6;

// On a route with few requests, those of a minute ago say little.
constexpr Duration kWorkTimeConstant = std::chrono::seconds(20);

// The estimate decides which requests are sent, and is learned only from these.
// If it does not let any through, one is sent after this time without a
// response, which doubles with each trial that gets none.
constexpr Duration kFirstTrialInterval = std::chrono::seconds(1);
constexpr int kMaxTrialDoublings = 2;
// A caller does not learn whether such a request has run if it is not answered.
constexpr int kUnrepeatableTrialFactor = 4;

Duration Scaled(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

/** Weight of a new sample in the mean. */
double SampleWeight(const RouteWork& work, TimePoint now) {
  const double gap =
      Seconds(now - work.learned_at.value_or(now)) / Seconds(kWorkTimeConstant);
  return std::max({kMinWorkWeight, 1.0 / work.samples, 1 - std::exp(-gap)});
}

// A trial that is answered faster than the model allows shows that the model
// was learned from other servers, or from other work.
bool Refutes(const PlacementRecord& placement, Duration usual) {
  return placement.doubted &&
         usual < Scaled(*placement.doubted, kFastestWorkFraction);
}

void RecordUsualWork(WorkModel& model,
                     const PlacementRecord& placement,
                     Duration usual,
                     TimePoint now) {
  RouteWork& work = model.routes[placement.route];
  if (Refutes(placement, usual))
    work = RouteWork();
  ++work.samples;
  work.mean += Scaled(usual - work.mean, SampleWeight(work, now));
  work.learned_at = now;
  work.trials = 0;
}

Duration TrialInterval(const RouteWork& work, bool idempotent) {
  const int doublings = std::min(work.trials, kMaxTrialDoublings);
  return kFirstTrialInterval * (1 << doublings) *
         (idempotent ? 1 : kUnrepeatableTrialFactor);
}

}  // namespace

Duration ExpectedWork(const WorkModel& model,
                      const std::string& route,
                      Duration target) {
  const auto known = model.routes.find(route);
  if (known != model.routes.end() && known->second.samples > 0)
    return known->second.mean;
  return target > Duration::zero() ? target / kTargetPerUsualWork
                                   : kDefaultWork;
}

Duration ShortestWork(const WorkModel& model,
                      const std::string& route,
                      Duration target) {
  return Scaled(ExpectedWork(model, route, target), kFastestWorkFraction);
}

// The first estimate of a route is derived from its target, so nothing has been
// seen yet that a trial would have to wait for.
bool TakeTrial(WorkModel& model,
               const DoubtfulRequest& request,
               TimePoint now) {
  RouteWork& work = model.routes[request.route];
  const std::optional<TimePoint> seen =
      std::max(work.learned_at, work.tried_at);
  if (seen && now - *seen < TrialInterval(work, request.idempotent))
    return false;
  ++work.trials;
  work.tried_at = now;
  return true;
}

void RecordLatency(WorkModel& model,
                   const PlacementRecord& placement,
                   Duration latency,
                   TimePoint now) {
  if (!placement.known || placement.slowness <= 0)
    return;
  const Duration usual = Scaled(latency, 1 / placement.slowness);
  if (!placement.near_full || Refutes(placement, usual))
    return RecordUsualWork(model, placement, usual, now);
  const auto route = model.routes.find(placement.route);
  if (route == model.routes.end() || route->second.samples == 0)
    return;
  const Duration mean = std::max(Duration(1), route->second.mean);
  const double factor = std::clamp(
      static_cast<double>(usual.count()) / static_cast<double>(mean.count()),
      0.5, kMaxNearFullFactor);
  const double known = NearFullFactor(model, now);
  model.near_full_factor = known + kNearFullFactorWeight * (factor - known);
  model.near_full_at = now;
}

void KeepRoutes(WorkModel& model, const std::set<std::string>& routes) {
  for (auto it = model.routes.begin(); it != model.routes.end();)
    it = routes.count(it->first) > 0 ? std::next(it) : model.routes.erase(it);
}

bool IsNearFull(int others, int slots) {
  return others + 1 > kNearFullFraction * slots;
}

double NearFullFactor(const WorkModel& model, TimePoint now) {
  const double age = Seconds(now - model.near_full_at);
  return 1 + (model.near_full_factor - 1) *
                 std::exp(-age / Seconds(kNearFullTimeConstant));
}

int BestConcurrency(const WorkModel& model, int slots, TimePoint now) {
  const int below_near_full =
      std::max(1, static_cast<int>(kNearFullFraction * slots));
  return slots / std::max(1.0, NearFullFactor(model, now)) > below_near_full
             ? slots
             : below_near_full;
}

}  // namespace mangodoor
