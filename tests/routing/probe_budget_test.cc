#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "process/servers/server_pool.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId work_service("work");
const DataCentreId here("here");
const BackendServerId only_server("server");
constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr double kProbesPerS = 60;
// As in the largest data centre of a user: its instances, and the requests a
// second for the service that has a single server there.
constexpr int kInstances = 28;
constexpr double kRequestsPerS = 25;

/** An instance that knows no other, with requests for one server. */
class LoneInstance {
 public:
  LoneInstance() {
    Service service;
    service.id = work_service;
    service.discovered = true;
    Document document;
    document.version = 1;
    document.services = {service};
    ApplyVersion(pool_, *MakeVersion(document, "", ""), {}, here, kStart);
    pool_.shares.instances = {{here, 1}};
    pool_.shares.advertised_instances = {{here, 1}};
    pool_.shares.is_advertised = true;
    pool_.probes_per_s = kProbesPerS;
    ServerRecord record;
    record.id = only_server;
    record.service = work_service;
    record.data_centre = here;
    record.endpoint = {"10.0.0.1", 80};
    record.slots = 3;
    record.incarnation = 1;
    ApplyRecords(pool_, {record}, {}, kStart);
  }

  void SendRequest(TimePoint now) {
    ServerRequirements requirements;
    requirements.service = work_service;
    requirements.deadline = now + milliseconds(800);
    const ServerReply reply = AcquireServer(
        pool_, requirements, now, 1,
        [this](const std::variant<ChosenServer, ErrorKind>& decision) {
          placed_ += std::holds_alternative<ChosenServer>(decision) ? 1 : 0;
        });
    Run(reply.actions, now);
  }

  /** Ends the requests that the instance has sent to the server. */
  void EndRequests(TimePoint now) {
    AttemptResult result;
    result.end = AttemptResult::End::kAnswered;
    result.latency = milliseconds(20);
    while (FindServer(pool_, only_server)->outstanding > 0)
      Run(ReleaseServer(pool_, only_server, result, now), now);
  }

  void Tick(TimePoint now) { Run(TickServers(pool_, now), now); }

  /** Whether all slots of the server are in use by other instances. */
  void set_server_full(bool full) { server_full_ = full; }
  int probes() const { return probes_; }
  int placed() const { return placed_; }

 private:
  void Run(const ServerActions& actions, TimePoint now) {
    for (const auto& callback : actions.callbacks)
      callback();
    for (const ChosenServer& probed : actions.probes) {
      ++probes_;
      ProbeResult result;
      result.answered = true;
      result.server_load = ServerLoad{server_full_ ? 3 : 0, 0, 3, 1};
      Run(HandleProbeResult(pool_, probed.server, result, now), now);
    }
  }

  ServerPool pool_;
  bool server_full_ = false;
  int probes_ = 0;
  int placed_ = 0;
};

/** Spreads kRequestsPerS over the instances for `duration`. */
void SendRequests(std::vector<LoneInstance>& instances, Duration duration) {
  constexpr Duration kTick = milliseconds(10);
  double due = 0;
  size_t next = 0;
  for (Duration t{0}; t < duration; t += kTick) {
    for (due += kRequestsPerS * Seconds(kTick); due >= 1; due -= 1)
      instances.at(next++ % instances.size()).SendRequest(kStart + t);
    for (LoneInstance& instance : instances)
      instance.Tick(kStart + t);
  }
}

// Guards against instances that each use the probe budget of the whole fleet
// after all of them were restarted, or cut off from each other: a busy server
// would spend its time on probes.
TEST(ProbeBudgetTest, InstancesAloneStayWithinTheBudget) {
  constexpr Duration kDuration = seconds(5);
  std::vector<LoneInstance> instances(kInstances);
  for (LoneInstance& instance : instances)
    instance.set_server_full(true);
  SendRequests(instances, kDuration);
  int probes = 0;
  for (const LoneInstance& instance : instances)
    probes += instance.probes();
  EXPECT_LE(probes, kProbesPerS * Seconds(kDuration));
}

// Guards against an instance that places no requests because it may not probe
// before it knows others.
TEST(ProbeBudgetTest, InstanceAlonePlacesAllRequests) {
  LoneInstance instance;
  constexpr int kRequests = 100;
  for (int i = 0; i < kRequests; ++i) {
    const TimePoint now = kStart + milliseconds(40) * i;
    instance.SendRequest(now);
    instance.Tick(now + milliseconds(10));
    instance.EndRequests(now + milliseconds(20));
  }
  EXPECT_EQ(instance.placed(), kRequests);
}

}  // namespace
}  // namespace mangodoor
