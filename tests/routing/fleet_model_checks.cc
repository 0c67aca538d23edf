#include <algorithm>

#include "routing/fleet_model.h"

namespace mangodoor {

void FleetModel::CheckColdLoad(const BackendServerId& server) {
  int load = 0;
  for (const FleetInstance& instance : instances_) {
    const auto known = instance.observed_cold.find(server);
    if (known == instance.observed_cold.end() ||
        now_ - known->second.at >= kColdMax)
      continue;
    for (const Attempt& attempt : instance.attempts)
      load += attempt.sent && attempt.server == server &&
              attempt.sent_order > known->second.order;
  }
  if (load > kColdConcurrency)
    AddViolation("cold");
}

void FleetModel::CheckProbes(const FakeServer& server) {
  const std::vector<TimePoint>& probes = server.probes;
  for (size_t first = 0; first < probes.size(); ++first) {
    const double window =
        std::chrono::duration<double>(now_ - probes[first]).count();
    if (probes.size() - first > kProbeBudget * window + 2 + 1e-6)
      AddViolation("probes");
  }
}

void FleetModel::CheckCounts(int index) {
  const FleetInstance& instance = instances_[index];
  for (const auto& [id, entry] : instance.pool.servers) {
    const auto expected = std::count_if(
        instance.attempts.begin(), instance.attempts.end(),
        [&id = id](const Attempt& attempt) { return attempt.server == id; });
    if (entry.outstanding != expected ||
        entry.starts.size() != static_cast<size_t>(expected))
      AddViolation("outstanding");
  }
  for (const auto& [id, service] : instance.pool.services) {
    if (service.queue.size > service.queue_limit)
      AddViolation("queue");
  }
}

void FleetModel::Settle() {
  for (FleetInstance& instance : instances_)
    instance.paused_until = now_;
  Advance(std::chrono::seconds(10));
  for (int i = 0; i < kInstances; ++i) {
    while (!instances_[i].attempts.empty())
      Finish(i, 0, 0);
    CheckCounts(i);
    for (const auto& [ticket, wait] : instances_[i].waits) {
      if (wait.decisions != (wait.cancelled ? 0 : 1))
        AddViolation("callback");
    }
  }
}

}  // namespace mangodoor
