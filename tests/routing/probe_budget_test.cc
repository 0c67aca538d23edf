#include <gtest/gtest.h>

#include <numeric>
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
constexpr size_t kAdvertisedInstances = 6;
constexpr double kRequestsPerS = 25;
// The shares of the instances of a data centre add up to this at most.
constexpr double kMaxSumOfShares = 1.5;

/** An instance that at first knows no other, with requests for one server. */
class ProbingInstance {
 public:
  ProbingInstance() {
    Service service;
    service.id = work_service;
    service.discovered = true;
    Document document;
    document.version = 1;
    document.services = {service};
    ApplyVersion(pool_, *MakeVersion(document, "", ""), {}, here, kStart);
    SetKnown(1, 1, true);
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

  /** Sets how many instances of its data centre it knows. */
  void SetKnown(int instances, int advertised_instances, bool is_advertised) {
    pool_.shares.instances = {{here, instances}};
    pool_.shares.advertised_instances = {{here, advertised_instances}};
    pool_.shares.is_advertised = is_advertised;
    RecordInstanceCount(pool_.instance_count, instances, kStart);
  }

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

/** Instances of one data centre with kRequestsPerS for a busy server. */
class ProbingFleet {
 public:
  ProbingFleet() : instances_(kInstances) {
    for (ProbingInstance& instance : instances_)
      instance.set_server_full(true);
  }

  void RunFor(Duration duration) {
    constexpr Duration kTick = milliseconds(10);
    for (const TimePoint end = now_ + duration; now_ < end; now_ += kTick) {
      for (due_ += kRequestsPerS * Seconds(kTick); due_ >= 1; due_ -= 1)
        instances_.at(next_++ % instances_.size()).SendRequest(now_);
      for (ProbingInstance& instance : instances_)
        instance.Tick(now_);
    }
  }

  /** Lets all instances know each other. */
  void Connect() {
    for (size_t i = 0; i < instances_.size(); ++i)
      instances_[i].SetKnown(kInstances, kAdvertisedInstances,
                             i < kAdvertisedInstances);
  }

  int probes() const {
    return std::accumulate(
        instances_.begin(), instances_.end(), 0,
        [](int sum, const ProbingInstance& one) { return sum + one.probes(); });
  }

 private:
  std::vector<ProbingInstance> instances_;
  TimePoint now_ = kStart;
  double due_ = 0;
  size_t next_ = 0;
};

// Guards against instances that each use the probe budget of the whole fleet
// after all of them were restarted, or cut off from each other: a busy server
// would spend its time on probes.
TEST(ProbeBudgetTest, InstancesAloneStayWithinTheBudget) {
  ProbingFleet fleet;
  fleet.RunFor(seconds(5));
  EXPECT_LE(fleet.probes(), kProbesPerS * 5);
}

// Guards against instances that save up probes while they know only themselves,
// and use them once they know each other.
TEST(ProbeBudgetTest, RestartOfAllStaysWithinTheShares) {
  ProbingFleet fleet;
  fleet.RunFor(seconds(1));
  fleet.Connect();
  fleet.RunFor(seconds(4));
  EXPECT_LE(fleet.probes(), kProbesPerS * kMaxSumOfShares * 5);
}

// Guards against an instance that places no requests because it may not probe
// before it knows others.
TEST(ProbeBudgetTest, InstanceAlonePlacesAllRequests) {
  ProbingInstance instance;
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
