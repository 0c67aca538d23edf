#ifndef TESTS_PLATFORM_FLEET_PLATFORM_FLEET_H_
#define TESTS_PLATFORM_FLEET_PLATFORM_FLEET_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "fleet/harness/child_process.h"
#include "fleet/harness/fault_relay.h"
#include "fleet/harness/http_client.h"
#include "fleet/harness/loopback_network.h"
#include "process/ordered_mutex.h"
#include "process/status/instance_status.h"

namespace mangodoor {

/** What a test wants to run on the stand-in platform. */
struct PlatformPlan {
  int instances = 4;
  int zones = 2;
  int servers_per_zone = 2;
  int work_ms = 20;
  /** Relays before servers, callers' ports and, for each instance, the store.
   */
  bool relays = false;
  /** Keys are refused where they may have been withdrawn unheard. */
  bool fail_closed = false;
};

/** The platform's stand-ins and real instances on loopback addresses. */
class PlatformFleet {
 public:
  static constexpr const char* kKey = "key-of-the-test-tenant";
  static constexpr const char* kHost = "shop.example";

  explicit PlatformFleet(const PlatformPlan& plan);
  ~PlatformFleet();

  void StartInstance(int index);
  /** Writes the settings of an instance again, with fields changed. */
  void WriteSettings(int index, const nlohmann::json& changes);
  void WriteSettingsText(int index, const std::string& text);
  void StartServer(int index);
  ChildProcess& instance(int index) { return *instances_.at(Index(index)); }
  void KillInstance(int index) { instances_.at(Index(index)).reset(); }
  ChildProcess& server(int index) { return *servers_.at(Index(index)); }
  void KillServer(int index) { servers_.at(Index(index)).reset(); }
  /** False while the process is killed and not started again. */
  bool HasInstance(int index) const {
    return instances_.at(Index(index)) != nullptr;
  }
  bool HasServer(int index) const {
    return servers_.at(Index(index)) != nullptr;
  }
  int instances() const { return plan_.instances; }
  int servers() const { return plan_.zones * plan_.servers_per_zone; }
  int zone_of_server(int index) const { return index % plan_.zones; }

  bool IsReady(int index) const;
  bool WaitUntilReady(std::chrono::milliseconds timeout);

  /** Publishes a version of the configuration. */
  void Publish();
  uint64_t version = 0;
  bool key_withdrawn = false;
  double tenant_rate_per_s = 10000;
  /** Another route, for tests of what is in force. */
  std::string extra_prefix;

  void Evacuate(int zone, bool out);
  void SetStoreMode(const std::string& mode);
  void CompactStore();
  int store_calls() const;

  /** Addresses that an instance's directory names. */
  std::vector<Endpoint> Lookup(int index) const;
  Endpoint caller(int index) const;
  /** Where a caller connects to that was told `address`. */
  Endpoint RouteTo(const Endpoint& address) const;
  FaultRelay& caller_relay(int instance) {
    return *caller_relays_.at(instance);
  }
  FaultRelay& store_relay(int instance) { return *store_relays_.at(instance); }
  FaultRelay& server_relay(int server) { return *server_relays_.at(server); }
  /** A call with the key, over a connection of its own. */
  HttpReply Call(const Endpoint& address,
                 const std::string& id,
                 const std::string& method = "GET",
                 const std::string& path = "/work/x") const;
  nlohmann::json ServerCounters(int index) const;
  /** All runs of requests over all servers, by request id. */
  std::map<std::string, int> Runs() const;
  std::string LogOf(int index) const;
  /** What an instance shows to operators on its admin address. */
  InstanceStatus StatusOf(int index) const;

 private:
  static size_t Index(int index) { return static_cast<size_t>(index); }
  std::string Host(int group, int index) const;
  Endpoint server_address(int index) const;
  Endpoint announced_address(int index) const;
  Endpoint store_of(int instance) const;
  void StartRelays();
  Endpoint Address(int index, int port) const;
  nlohmann::json Fields(int index) const;
  std::string SettingsPath(int index) const;
  void StoreItem(const std::string& method,
                 const std::string& key,
                 const std::string& value) const;

  const PlatformPlan plan_;
  LoopbackNetwork network_;
  std::string folder_;
  std::unique_ptr<ChildProcess> store_;
  std::map<int, std::unique_ptr<FaultRelay>> caller_relays_;
  std::map<int, std::unique_ptr<FaultRelay>> store_relays_;
  std::map<int, std::unique_ptr<FaultRelay>> server_relays_;
  std::vector<std::unique_ptr<ChildProcess>> servers_;
  std::vector<std::unique_ptr<ChildProcess>> instances_;
};

/** What callers saw of a load. */
struct LoadCounts {
  int answered = 0;
  /** Refused with a promise that it has not run. */
  int refused = 0;
  /** No answer, or one that promises nothing. */
  int failed = 0;
  std::vector<std::string> failures;
  /**
   * Ids of requests on kept connections that ended without an answer. The
   * platform's callers send them again, if they crossed the close of an idle
   * connection and were not read.
   */
  std::vector<std::string> crossed;
};

/**
 * Callers that ask the directory, keep the answer for a while, and call over
 * kept connections until told to stop. They retry as the platform's do.
 */
class PlatformCallers {
 public:
  PlatformCallers(const PlatformFleet& fleet, int callers, std::string method);
  ~PlatformCallers();

  /** Ends the load and returns what was seen. */
  LoadCounts Stop();

 private:
  void Run(int caller);

  const PlatformFleet& fleet_;
  const std::string method_;
  std::atomic<bool> stop_{false};
  OrderedMutex mutex_{LockRank::kStandin};
  LoadCounts counts_;
  std::vector<std::thread> threads_;
};

}  // namespace mangodoor

#endif  // TESTS_PLATFORM_FLEET_PLATFORM_FLEET_H_
