#ifndef TESTS_ROUTING_DISCOVERED_SERVERS_FIXTURE_H_
#define TESTS_ROUTING_DISCOVERED_SERVERS_FIXTURE_H_

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

#include "process/servers/server_pool.h"

namespace mangodoor {

inline const ServiceId work_service("work");
inline const DataCentreId here("here");
inline const DataCentreId there("there");
constexpr TimePoint kStart{std::chrono::hours(1)};

/** The record of a server of `work_service`, named i1, i2 and so on. */
inline ServerRecord Record(int number, const DataCentreId& data_centre) {
  ServerRecord record;
  record.id = BackendServerId("i" + std::to_string(number));
  record.service = work_service;
  record.data_centre = data_centre;
  record.endpoint = {"10.0.0." + std::to_string(number), 80};
  record.slots = 3;
  record.incarnation = 1;
  return record;
}

/** An instance with one service, whose servers register themselves. */
class DiscoveredServersTest : public testing::Test {
 protected:
  DiscoveredServersTest() { ApplyDocument(); }

  void ApplyDocument(const std::vector<Route>& routes = {}) {
    Service service;
    service.id = work_service;
    service.discovered = true;
    service.cold_rate_per_s = 12;
    service.connection_limit = 220;
    Document document;
    document.version = 1;
    document.services = {service};
    document.routes = routes;
    ApplyVersion(pool_, *MakeVersion(document, "", ""), {}, here, now_);
    pool_.shares.instances = {{here, 3}, {there, 4}};
    pool_.shares.cold.own_data_centre = 1.0 / 3;
    pool_.shares.cold.until = TimePoint::max();
    pool_.shares.cold.elsewhere = 1.0 / 6;
    pool_.probes_per_s = 1000;
  }

  void Apply(const std::vector<ServerRecord>& records,
             const std::vector<BackendServerId>& removed = {}) {
    ApplyRecords(pool_, records, removed, now_);
  }

  /** Chooses a server for a request, if one is free at once. */
  std::optional<ChosenServer> ChooseServer(ServerRequirements requirements) {
    requirements.service = work_service;
    if (requirements.deadline == TimePoint())
      requirements.deadline = now_ + std::chrono::seconds(1);
    std::optional<ChosenServer> chosen;
    const auto done =
        [&chosen](std::variant<ChosenServer, ErrorKind> decision) {
          if (const auto* server = std::get_if<ChosenServer>(&decision))
            chosen = *server;
        };
    const ServerReply reply =
        AcquireServer(pool_, requirements, now_, ++random_, done);
    if (reply.state == ServerReply::State::kChosen)
      return reply.chosen;
    if (reply.state == ServerReply::State::kRefused) {
      refusal_ = reply.error;
      return std::nullopt;
    }
    Run(reply.actions);
    if (!chosen)
      CancelWait(pool_, work_service, reply.ticket);
    return chosen;
  }

  /** Returns the server chosen for a request, or an empty id. */
  BackendServerId Choose(const ServerRequirements& requirements = {}) {
    const auto chosen = ChooseServer(requirements);
    if (!chosen)
      return BackendServerId();
    connection_limit_ = chosen->connection_limit;
    return chosen->server;
  }

  /** Runs the callbacks and answers the probes. */
  void Run(const ServerActions& actions) {
    for (const auto& callback : actions.callbacks)
      callback();
    for (const ChosenServer& probed : actions.probes) {
      ++probes_;
      ProbeResult result;
      const auto server_load = reported_loads_.find(probed.server);
      result.answered = unresponsive_.count(probed.server) == 0;
      result.healthy = result.answered;
      if (reports_load_) {
        result.server_load =
            server_load == reported_loads_.end()
                ? ServerLoad{FindServer(pool_, probed.server)->outstanding, 0,
                             3, 1}
                : server_load->second;
      }
      const auto cold = cold_until_.find(probed.server);
      if (cold != cold_until_.end())
        result.cold_remaining = std::max(Duration::zero(), cold->second - now_);
      Run(HandleProbeResult(pool_, probed.server, result, now_));
    }
  }

  void Answer(const BackendServerId& server,
              std::optional<ServerLoad> server_load = std::nullopt) {
    AttemptResult result;
    result.end = AttemptResult::End::kAnswered;
    result.latency = std::chrono::milliseconds(20);
    result.server_load = server_load;
    ReleaseServer(pool_, server, result, now_);
  }

  ServerPool pool_;
  TimePoint now_ = kStart;
  uint64_t random_ = 0;
  int probes_ = 0;
  int connection_limit_ = 0;
  /** Why the latest request was refused that was refused at once. */
  ErrorKind refusal_ = ErrorKind::kInternal;
  bool reports_load_ = true;
  /** Reported loads; servers without one report this instance's requests. */
  std::map<BackendServerId, ServerLoad> reported_loads_;
  std::set<BackendServerId> unresponsive_;
  /** When the servers that tell it are no longer cold. */
  std::map<BackendServerId, TimePoint> cold_until_;
};

}  // namespace mangodoor

#endif  // TESTS_ROUTING_DISCOVERED_SERVERS_FIXTURE_H_
