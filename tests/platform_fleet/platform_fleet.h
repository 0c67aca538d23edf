#ifndef TESTS_PLATFORM_FLEET_PLATFORM_FLEET_H_
#define TESTS_PLATFORM_FLEET_PLATFORM_FLEET_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "fleet/harness/child_process.h"
#include "fleet/harness/fault_relay.h"
#include "fleet/harness/http_client.h"
#include "fleet/harness/loopback_network.h"
#include "process/ordered_mutex.h"
#include "process/status/instance_status.h"
#include "standins/lib/cold_phase.h"

namespace mangodoor {

/** Size and options of a fleet on the stand-in platform. */
struct PlatformPlan {
  int instances = 4;
  int zones = 2;
  int servers_per_zone = 2;
  /** Processing time of a request at a server. */
  int work_ms = 20;
  /**
   * Puts a relay in front of each server and of each instance's caller port,
   * and one for each instance in front of the store.
   */
  bool relays = false;
  /**
   * Instances refuse API keys while their copy of the store is too old to rule
   * out that the keys were withdrawn.
   */
  bool fail_closed = false;
  /** Requests that a server runs at a time. */
  int server_slots = 3;
  /** Interval at which a server writes its record in the store. */
  std::chrono::milliseconds server_heartbeat{300};
  /** How long a server is cold after its start. */
  std::chrono::milliseconds cold_time{0};
  /** Requests a second that a cold server tolerates; 0 for no limit. */
  double cold_rate_per_s = 0;
};

/**
 * Runs the platform's stand-ins and real instances as processes on loopback
 * addresses.
 */
class PlatformFleet {
 public:
  static constexpr const char* kKey = "key-of-the-test-tenant";
  static constexpr const char* kHost = "shop.example";

  explicit PlatformFleet(const PlatformPlan& plan);
  ~PlatformFleet();

  void StartInstance(int index);
  /**
   * Starts an instance that reads its settings from a pipe, and calls `act`
   * before it has got them. Later reads find them in a file.
   */
  void StartInstanceWithPipe(int index, const std::function<void()>& act);
  /**
   * Writes the settings of an instance: the template, filled in with its usual
   * fields after `changes` have been merged into them.
   */
  void WriteSettings(int index, const nlohmann::json& changes);
  void WriteSettingsText(int index, const std::string& text);
  void StartServer(int index);
  ChildProcess& instance(int index) { return *instances_.at(Index(index)); }
  void KillInstance(int index) { instances_.at(Index(index)).reset(); }
  ChildProcess& server(int index) { return *servers_.at(Index(index)); }
  void KillServer(int index) { servers_.at(Index(index)).reset(); }
  /** False from KillInstance until the next StartInstance. */
  bool HasInstance(int index) const {
    return instances_.at(Index(index)) != nullptr;
  }
  bool HasServer(int index) const {
    return servers_.at(Index(index)) != nullptr;
  }
  int instances() const { return plan_.instances; }
  int servers() const { return plan_.zones * plan_.servers_per_zone; }
  int zone_of_server(int index) const { return index % plan_.zones; }
  static std::string ServerId(int index) {
    return "i-" + std::to_string(index);
  }

  bool IsReady(int index) const;
  bool WaitUntilReady(std::chrono::milliseconds timeout);

  /** Publishes the next version, made from the members below. */
  void Publish();
  uint64_t version = 0;
  bool key_withdrawn = false;
  double tenant_rate_per_s = 10000;
  /** Time limit of every route. */
  std::chrono::milliseconds route_timeout{2000};
  /**
   * Path prefix of one more route, by which tests see which version is in
   * force; empty for none.
   */
  std::string extra_prefix;
  /** Number of further routes, which make the configuration large. */
  int filler_routes = 0;

  void Evacuate(int zone, bool out);
  /** Writes an item of the store as another writer would. */
  void PutItem(const std::string& key, const std::string& value) const {
    WriteStoreItem("PUT", key, value);
  }
  /** The value of an item of the store; empty if there is none. */
  std::string ItemValue(const std::string& key) const;
  /** Makes the store send `text` in place of the item with this key. */
  void PutItemText(const std::string& key, const std::string& text) const;
  void SetStoreMode(const std::string& mode);
  void CompactStore();
  /**
   * The store is away for a while, and comes back from a copy that is this old.
   * Returns at once.
   */
  void RestoreStore(std::chrono::milliseconds away,
                    std::chrono::milliseconds age);
  /** Writes again what an operator has written last, and deletes the rest. */
  void RepeatOperatorWrites();
  /**
   * Number of requests that the store has received, except those below
   * /standin/; -1 if it does not respond.
   */
  int store_request_count() const;

  /** Looks up addresses in an instance's directory; empty if this fails. */
  std::vector<Endpoint> Lookup(int index) const;
  Endpoint caller_endpoint(int index) const;
  /** Address of a server, behind its relay if there is one. */
  Endpoint server_address(int index) const;
  /**
   * Returns where to connect for an address from Lookup: the relay in front of
   * the address, or the address itself if there is no relay.
   */
  Endpoint RouteTo(const Endpoint& address) const;
  FaultRelay& caller_relay(int instance) {
    return *caller_relays_.at(instance);
  }
  FaultRelay& store_relay(int instance) { return *store_relays_.at(instance); }
  FaultRelay& server_relay(int server) { return *server_relays_.at(server); }
  /** Sends a request with the API key kKey over a new connection. */
  ClientResponse Call(const Endpoint& address,
                      const std::string& id,
                      const std::string& method = "GET",
                      const std::string& path = "/work/x") const;
  /** Fields of a request with the API key kKey. */
  static std::map<std::string, std::string> FieldsOf(
      const std::string& id,
      std::chrono::milliseconds time_limit = std::chrono::milliseconds(2000));
  nlohmann::json ServerCounters(int index) const;
  /** Number of runs of each request over all servers, by request id. */
  std::map<std::string, int> Runs() const;
  std::string LogOf(int index) const;
  /** File in which a server, also after restarts, records what it ran. */
  std::string RunLogPath(int server) const;
  /** Sends the body of /standin/faults to a server. False if it failed. */
  bool SetServerFaults(int server, const std::string& mode) const;
  /** Makes a server cold from now on. False if it failed. */
  bool SetServerCold(int server, std::chrono::milliseconds duration) const;
  /**
   * Requests that a server has got since it became cold, while it was cold.
   * Probes and requests for another server are not among them.
   */
  std::vector<ColdArrival> ColdArrivals(int server) const;
  /** The status that an instance reports on its admin address. */
  InstanceStatus StatusOf(int index) const;

 private:
  static size_t Index(int index) { return static_cast<size_t>(index); }
  std::string Host(int group, int index) const;
  Endpoint announced_address(int index) const;
  Endpoint store_address(int instance) const;
  void StartRelays();
  Endpoint InstanceAddress(int index, int port) const;
  nlohmann::json TemplateFields(int index) const;
  /** An operator's write; a deletion if there is no value. */
  void WriteAsOperator(const std::string& key,
                       const std::optional<std::string>& value);
  std::string SettingsPath(int index) const;
  void WriteStoreItem(const std::string& method,
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
  /** The operator's latest write of each key; a deletion if empty. */
  std::map<std::string, std::optional<std::string>> operator_writes_;
  std::vector<std::unique_ptr<ChildProcess>> instances_;
};

/** Requests of PlatformCallers, counted by outcome. */
struct LoadCounts {
  /** Status 200. */
  int answered = 0;
  /** Status 429 or 503, which promise that the request has not run. */
  int refused = 0;
  /** No response on a new connection, or another status. */
  int failed = 0;
  std::vector<std::string> failures;
  /**
   * Ids of requests that got no response on a reused connection. The platform's
   * callers send such a request again if the instance closed the idle
   * connection meanwhile and did not read the request.
   */
  std::vector<std::string> unanswered_on_reuse;
};

/**
 * Callers that look up addresses in the directory, use them for a while, and
 * send requests over persistent connections until Stop. A caller that gets no
 * response looks up addresses again and goes on with another request.
 */
class PlatformCallers {
 public:
  PlatformCallers(const PlatformFleet& fleet, int callers, std::string method);
  ~PlatformCallers();

  /** Stops the callers and returns what they counted. */
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
