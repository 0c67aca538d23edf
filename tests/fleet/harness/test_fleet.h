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

/** Size and settings of a TestFleet. */
struct FleetPlan {
  int instances = 3;
  int data_centres = 2;
  int servers_per_data_centre = 2;
  std::vector<std::string> server_arguments;
  double rate_per_s = 10000;
  int burst = 10000;
  int cold_concurrency = 8;
  double probe_budget_per_s = 20;
  /**
   * Connections go through relays, which can cut them. Costly in large fleets.
   */
  bool relays = true;
};

/**
 * Real instances, backend server stand-ins and platform stand-ins on loopback
 * addresses. With FleetPlan::relays, each instance connects to each peer, and
 * to the configuration service, through a relay of its own.
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

  Endpoint caller_endpoint(int instance) const;
  Endpoint admin_endpoint(int instance) const;
  Endpoint server_endpoint(int server) const;
  int server_count() const { return static_cast<int>(servers_.size()); }
  int instance_count() const { return static_cast<int>(instances_.size()); }

  /** Cuts all connections between `group` and the other instances. */
  void CutPeers(const std::vector<int>& group);
  void HealPeers();
  void CutConfiguration(int instance);
  void HealConfiguration(int instance);

  /** Publishes a new version of the document, made from the fields below. */
  void Publish();
  bool data_centre_out = false;
  bool key_withdrawn = false;
  /** Index of the server that the document drains; -1 for none. */
  int drained_server = -1;
  /** The version published last. */
  uint64_t version = 0;

  /** Sends a request with the key on a new connection. */
  ClientResponse Call(int instance,
                      const std::string& method = "GET",
                      const std::string& target = "/work/x",
                      const std::string& request_id = "");

  /** Reads a number from a JSON page; -1 if there is none. */
  static double ReadNumber(const Endpoint& endpoint,
                           const std::string& target,
                           const std::string& json_pointer);

  /** Reads a value from the metrics of an instance; -1 if there is none. */
  static double ReadMetric(const Endpoint& admin, const std::string& name);

  void ControlServer(int server, const std::string& target);

 private:
  std::string Document() const;
  std::string InstanceListFor(int instance) const;
  std::string SettingsFor(int instance) const;
  std::string WriteFile(const std::string& name, const std::string& text) const;
  std::string Program(const std::string& name) const;
  std::string Host(int group, int index) const;
  Endpoint peer_endpoint(int instance) const;
  Endpoint peer_relay_endpoint(int from, int to) const;
  void StartPlatform();
  void StartServer(int index);

  FleetPlan plan_;
  std::string folder_;
  LoopbackNetwork network_;
  std::unique_ptr<ChildProcess> configuration_service_;
  std::vector<std::unique_ptr<ChildProcess>> instance_lists_;
  std::vector<std::unique_ptr<ChildProcess>> servers_;
  std::vector<std::unique_ptr<ChildProcess>> instances_;
  std::map<std::pair<int, int>, std::unique_ptr<FaultRelay>> peer_relays_;
  std::vector<std::unique_ptr<FaultRelay>> configuration_relays_;
};

/** Polls `condition`. Returns false if it does not hold within `timeout`. */
bool WaitFor(const std::function<bool()>& condition,
             std::chrono::milliseconds timeout);

}  // namespace mangodoor

#endif  // TESTS_FLEET_HARNESS_TEST_FLEET_H_
