#ifndef BENCH_LIB_ROUTING_SERVER_H_
#define BENCH_LIB_ROUTING_SERVER_H_

#include <deque>
#include <functional>
#include <vector>

#include "process/clock.h"

namespace mangodoor::bench {

/** Runs a function after a delay. */
using Scheduler = std::function<void(Duration, std::function<void()>)>;

/** Outcome of a ServerJob. */
enum class JobResult { kDone, kFailed };

/** A request at a simulated server. */
struct ServerJob {
  uint64_t id = 0;
  Duration service_time{};
  std::function<void(JobResult)> done;
};

/** A simulated backend server with slots and a first-in, first-out queue. */
struct SimServer {
  int slots = 3;
  int running = 0;
  /** Fails all requests and answers no probes. */
  bool is_down = false;
  /** Until then the server runs one request at a time and fails all others. */
  TimePoint cold_until;
  std::deque<ServerJob> queue;
  /** Number of requests in flight after each change. */
  std::vector<std::pair<TimePoint, int>> in_flight_history;
};

void Submit(SimServer& server, ServerJob job, TimePoint now, const Scheduler&);

/** Removes a queued job. Has no effect on a job that already runs. */
void CancelJob(SimServer& server, uint64_t id, TimePoint now);

/** Number of requests in flight at a past time. */
int InFlightAt(const SimServer& server, TimePoint at);

}  // namespace mangodoor::bench

#endif  // BENCH_LIB_ROUTING_SERVER_H_
