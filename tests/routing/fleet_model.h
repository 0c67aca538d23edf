#ifndef TESTS_ROUTING_FLEET_MODEL_H_
#define TESTS_ROUTING_FLEET_MODEL_H_

#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "process/servers/server_pool.h"
#include "routing/fleet_document.h"

namespace mangodoor {

constexpr int kInstances = 5;
constexpr int kServers = 4;
constexpr int kColdConcurrency = 2;
constexpr double kProbeBudget = 2.0;
constexpr Duration kColdMax = std::chrono::seconds(30);

/** Injected faults, each of which one of the checks must find. */
struct FleetFaults {
  bool ignore_cold = false;
  bool catch_up_probes = false;
  bool use_drained = false;
  bool call_back_twice = false;
  bool keep_cancelled = false;
  bool lose_release = false;
};

/** One random event; `a` and `b` are mapped to the range of its kind. */
struct FleetStep {
  enum class Kind {
    kAdvance,
    kRequest,
    kSend,
    kFinish,
    kCancel,
    kRestartServer,
    kWarmServer,
    kPause,
    kChangeVersion,
    kConnectPeer,
  };
  Kind kind = Kind::kAdvance;
  int a = 0;
  int b = 0;
};

/**
 * Several instances as plain structs, fake backend servers, and a network that
 * delays, reorders, duplicates and loses messages. Checks the invariants.
 */
class FleetModel {
 public:
  FleetModel(FleetFaults faults, unsigned seed);

  void Run(const std::vector<FleetStep>& steps);

  /** Ends all waits and attempts, and checks that none is left. */
  void Settle();

  /** Names of the invariants that were violated. */
  const std::set<std::string>& violations() const { return violations_; }

 private:
  struct Attempt {
    BackendServerId server;
    TimePoint chosen_at;
    bool sent = false;
    uint64_t sent_order = 0;
    int server_starts = 0;
  };
  /** Time of an observation; `order` breaks ties. */
  struct Observation {
    TimePoint at;
    uint64_t order = 0;
  };
  struct Wait {
    int decisions = 0;
    bool cancelled = false;
  };
  struct FleetInstance {
    ServerPool pool;
    VersionPtr version;
    TimePoint paused_until;
    std::vector<Attempt> attempts;
    std::map<uint64_t, Wait> waits;
    /** Servers that this instance itself observed as cold, and since when. */
    std::map<BackendServerId, Observation> observed_cold;
  };
  struct FakeServer {
    bool cold = true;
    int starts = 1;
    std::vector<TimePoint> probes;
  };
  struct Event {
    TimePoint at;
    int instance = 0;
    VersionPtr version;
    std::vector<ServerReport> reports;
    std::optional<BackendServerId> probed;
  };

  void Step(const FleetStep& step);
  void Advance(Duration duration);
  void Deliver();
  void Handle(int index, const Event& event);
  void Tick(int index);
  void Request(int index);
  void Send(int index, size_t attempt_index);
  void Finish(int index, size_t attempt_index, int end_choice);
  void FinishTimedOut(int index);
  void Cancel(int index, int choice);
  void ChangeVersion(int what, int target);
  void PropagateVersion();
  void Perform(int index, const ServerActions& actions);
  void Probe(int index, const BackendServerId& server);
  void SendReports(int from, const std::vector<ServerReport>& reports);
  void Reserve(int index, const BackendServerId& server);
  void RecordOwnCold(int index, const BackendServerId& server);
  void RecordWarm(int index, const BackendServerId& server);
  bool IsInService(int index, const BackendServerId& server) const;
  bool IsAwake(int index) const;
  FakeServer& Server(const BackendServerId& id);
  int RandomBelow(int below);

  void CheckColdLoad(const BackendServerId& server);
  void CheckProbes(const FakeServer& server);
  void CheckCounts(int index);
  void AddViolation(const std::string& name) { violations_.insert(name); }

  FleetFaults faults_;
  std::mt19937 random_;
  TimePoint now_{std::chrono::hours(1)};
  uint64_t order_ = 0;
  Document document_;
  std::deque<FleetInstance> instances_;
  std::vector<FakeServer> servers_;
  std::vector<Event> events_;
  std::set<std::string> violations_;
};

}  // namespace mangodoor

#endif  // TESTS_ROUTING_FLEET_MODEL_H_
