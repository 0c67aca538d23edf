#include "bench/lib/routing_server.h"

#include <algorithm>
#include <utility>

namespace mangodoor::bench {
namespace {

void RecordInFlight(SimServer& server, TimePoint now) {
  server.in_flight_history.emplace_back(
      now, server.running + static_cast<int>(server.queue.size()));
}

void StartNext(SimServer& server, TimePoint now, const Scheduler& schedule) {
  while (server.running < server.slots && !server.queue.empty()) {
    const ServerJob job = server.queue.front();
    server.queue.pop_front();
    ++server.running;
    const TimePoint end = now + job.service_time;
    schedule(job.service_time, [&server, end, schedule, done = job.done] {
      --server.running;
      RecordInFlight(server, end);
      done(JobResult::kDone);
      StartNext(server, end, schedule);
    });
  }
}

}  // namespace

void Submit(SimServer& server,
            ServerJob job,
            TimePoint now,
            const Scheduler& schedule) {
  const bool is_cold_and_busy = now < server.cold_until && server.running > 0;
  if (server.is_down || is_cold_and_busy)
    return job.done(JobResult::kFailed);
  server.queue.push_back(std::move(job));
  StartNext(server, now, schedule);
  RecordInFlight(server, now);
}

void CancelJob(SimServer& server, uint64_t id, TimePoint now) {
  const auto found =
      std::find_if(server.queue.begin(), server.queue.end(),
                   [id](const ServerJob& job) { return job.id == id; });
  if (found == server.queue.end())
    return;
  server.queue.erase(found);
  RecordInFlight(server, now);
}

int InFlightAt(const SimServer& server, TimePoint at) {
  const auto after = std::upper_bound(
      server.in_flight_history.begin(), server.in_flight_history.end(), at,
      [](TimePoint time, const auto& entry) { return time < entry.first; });
  return after == server.in_flight_history.begin() ? 0
                                                   : std::prev(after)->second;
}

}  // namespace mangodoor::bench
