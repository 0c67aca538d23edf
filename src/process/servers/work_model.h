#ifndef PROCESS_SERVERS_WORK_MODEL_H_
#define PROCESS_SERVERS_WORK_MODEL_H_

#include <optional>
#include <set>
#include <string>
#include <unordered_map>

#include "process/clock.h"

namespace mangodoor {

/** What was known of a server when it was chosen for a request. */
struct PlacementRecord {
  /** False if the server had not reported its load. */
  bool known = false;
  /** Route of the request, the key of WorkModel::routes. */
  std::string route;
  /** Duration of work on the server, relative to usual. */
  double slowness = 1;
  /** True if the request made the server nearly full. */
  bool near_full = false;
  /** Age of the load report. */
  Duration age{};
  /** For a trial request: the expected time of work that it doubts. */
  std::optional<Duration> doubted = std::nullopt;
};

/** Time that requests of one route usually take. */
struct RouteWork {
  /** On a server of usual speed that is not nearly full. */
  Duration mean{};
  /** Responses that `mean` was learned from. */
  int samples = 0;
  /** When the latest of them arrived. */
  std::optional<TimePoint> learned_at;
  /** Trial requests since then. */
  int trials = 0;
  std::optional<TimePoint> tried_at;
};

/** Times that the requests of a service usually take. */
struct WorkModel {
  std::unordered_map<std::string, RouteWork> routes;
  /**
   * Time of a request that makes a server nearly full, relative to usual, as
   * learned up to `near_full_at`.
   */
  double near_full_factor = 1;
  TimePoint near_full_at{};
};

/** A request whose deadline seems too short for its work. */
struct DoubtfulRequest {
  std::string route;
  /** True if the request may run more than once. */
  bool idempotent = true;
};

/**
 * Usual time of a request of the route. Before the first response it is derived
 * from `target`, the target latency of the route, which is zero if unset.
 */
Duration ExpectedWork(const WorkModel& model,
                      const std::string& route,
                      Duration target);

/** Time below which hardly any request of the route ends. */
Duration ShortestWork(const WorkModel& model,
                      const std::string& route,
                      Duration target);

/**
 * True if the request should be sent although its deadline is too short by the
 * model, to find out whether the model still holds. Counts it as a trial.
 */
bool TakeTrial(WorkModel& model, const DoubtfulRequest& request, TimePoint now);

/** Adds the latency of an answered request to the model. */
void RecordLatency(WorkModel& model,
                   const PlacementRecord& placement,
                   Duration latency,
                   TimePoint now);

/** Forgets all routes but these. */
void KeepRoutes(WorkModel& model, const std::set<std::string>& routes);

/** True if one more request besides `others` makes a server nearly full. */
bool IsNearFull(int others, int slots);

/**
 * Expected time of a request that makes a server nearly full, relative to
 * usual; decays towards 1 with the age of what was learned.
 */
double NearFullFactor(const WorkModel& model, TimePoint now);

/**
 * Number of concurrent requests with the highest throughput. Some servers slow
 * down so much when nearly full that using the last slots lowers it.
 */
int BestConcurrency(const WorkModel& model, int slots, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_WORK_MODEL_H_
