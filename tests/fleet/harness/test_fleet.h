#ifndef TESTS_FLEET_HARNESS_TEST_FLEET_H_
#define TESTS_FLEET_HARNESS_TEST_FLEET_H_

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/harness/child_process.h"
#include "fleet/harness/fault_relay.h"
#include "fleet/harness/http_client.h"
#include "fleet/harness/loopback_network.h"
#include "version/endpoint.h"

namespace mangodoor {

/** What a test wants to run. */
struct FleetPlan {
  int instances = 3;
  int data_centres = 2;
  int servers_per_data_centre = 2;
  std::vector<std::string> server_arguments;
  double rate_per_s = 10000;
  int burst = 10000;
  int cold_concurrency = 8;
  double probe_budget_per_s = 20;
  /** Without relays there is nothing to cut, and large fleets cost less. */
  bool relays = true;
};

/**
 * Real instances, backend server stand-ins and platform stand-ins on loopback
 * addresses. Every pair of instances talks through a relay of its own, and
 * every instance reads the configuration service through its own relay.
 */
class TestFleet {
 public:
  static constexpr const char* kKey = "key-of-the-test-account";

  explicit TestFleet(const FleetPlan& plan);
  ~TestFleet();

  /** Waits until all instances report ready. */
  bool WaitUntilReady(std::chrono::milliseconds timeout);

  void StartInstance(int instance);
  void KillInstance(int instance);
  ChildProcess& instance(int index) { return *instances_[index]; }
  ChildProcess& server(int index) { return *servers_[index]; }
  void RestartServer(int index);

  Endpoint caller(int instance) const;
  Endpoint admin(int instance) const;
  Endpoint server_endpoint(int server) const;
  int server_count() const { return static_cast<int>(servers_.size()); }
  int instance_count() const { return static_cast<int>(instances_.size()); }

  /** Cuts all links between `group` and the other instances. */
  void CutPeers(const std::vector<int>& group);
  void HealPeers();
  void CutConfiguration(int instance);
  void HealConfiguration(int instance);

  /** Publishes a new version, after `edit` has changed the state below. */
  void Publish();
  bool data_centre_out = false;
  bool key_withdrawn = false;
  int drained_server = -1;
  uint64_t version = 0;

  /** A GET or POST with the key, on a connection of its own. */
  HttpReply Call(int instance,
                 const std::string& method = "GET",
                 const std::string& target = "/work/x",
                 const std::string& request_id = "");

  /** A number from the JSON of a control endpoint; -1 if there is none. */
  static double Number(const Endpoint& endpoint,
                       const std::string& target,
                       const std::string& json_pointer);

  /** A value from the metrics of an instance; -1 if there is none. */
  static double Metric(const Endpoint& admin, const std::string& name);

  void ControlServer(int server, const std::string& target);

 private:
  std::string Document() const;
  std::string InstanceListFor(int instance) const;
  std::string SettingsFor(int instance) const;
  std::string WriteFile(const std::string& name, const std::string& text) const;
  std::string Program(const std::string& name) const;
  std::string Host(int group, int index) const;
  Endpoint peer(int instance) const;
  Endpoint peer_relay(int from, int to) const;
  void StartPlatform();
  void StartServer(int index);

  FleetPlan plan_;
  std::string folder_;
  LoopbackNetwork network_;
  std::unique_ptr<ChildProcess> configuration_;
  std::vector<std::unique_ptr<ChildProcess>> lists_;
  std::vector<std::unique_ptr<ChildProcess>> servers_;
  std::vector<std::unique_ptr<ChildProcess>> instances_;
  std::map<std::pair<int, int>, std::unique_ptr<FaultRelay>> peer_relays_;
  std::vector<std::unique_ptr<FaultRelay>> configuration_relays_;
};

/** Polls `condition` until it holds or `timeout` has passed. */
bool WaitFor(const std::function<bool()>& condition,
             std::chrono::milliseconds timeout);

}  // namespace mangodoor

#endif  // TESTS_FLEET_HARNESS_TEST_FLEET_H_
