#ifndef PROCESS_SERVERS_WORK_MODEL_H_
#define PROCESS_SERVERS_WORK_MODEL_H_

#include <string>
#include <unordered_map>

#include "process/clock.h"

namespace mangodoor {

/** What was known of a server when a request was placed there. */
struct PlacementRecord {
  /** False if the server had not stated its load. */
  bool known = false;
  /** The route of the request, as the work model tells them apart. */
  std::string route;
  /** How long work took there, relative to usual. */
  double slowness = 1;
  /** The request took one of the last slots. */
  bool near_full = false;
  /** Age of the statement that said so. */
  Duration age{};
};

/** How long the requests of one route take. */
struct RouteWork {
  /** At a server of usual speed that is not nearly full. */
  Duration mean{};
  int samples = 0;
};

/** How long the requests of a service take. */
struct WorkModel {
  std::unordered_map<std::string, RouteWork> routes;
  /** How much longer a request takes that makes a server nearly full. */
  double near_full_factor = 1;
};

/**
 * The usual time of a request of the route. `target` is the time that the
 * document wants answers within, zero if none; it tells before the first
 * answers.
 */
Duration ExpectedWork(const WorkModel& model,
                      const std::string& route,
                      Duration target);

/** Takes over the latency of an answered request. */
void RecordLatency(WorkModel& model,
                   const PlacementRecord& placement,
                   Duration latency);

/** True if one more request beside `there` others makes a server nearly full.
 */
bool IsNearFull(int others, int slots);

/**
 * Requests at once that a server does the most work with: some slow down when
 * they are nearly full, so that the last slots cost more than they bring.
 */
int BestConcurrency(const WorkModel& model, int slots);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_WORK_MODEL_H_
