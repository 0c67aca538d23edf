#ifndef VERSION_DOCUMENT_H_
#define VERSION_DOCUMENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "process/clock.h"
#include "version/endpoint.h"
#include "version/ids.h"

namespace mangodoor {

/** A site that holds instances and backend servers. */
struct DataCentre {
  DataCentreId id;
  std::string region;
  /** False while operators have taken it out: no new work. */
  bool in_service = true;
  /** Caller addresses at which instances may run. They hold the shares. */
  std::vector<Endpoint> entry_addresses;
};

enum class ServerMode { kActive, kDraining };

struct BackendServer {
  BackendServerId id;
  DataCentreId data_centre;
  Endpoint endpoint;
  /** Requests that it runs at once. */
  int slots = 3;
  /** Connections that it accepts from the whole fleet. */
  int connection_limit = 220;
  ServerMode mode = ServerMode::kActive;
};

struct Service {
  ServiceId id;
  /** The document names the servers; a discovered service has none here. */
  std::vector<BackendServer> servers;
  /** The servers are the ones that register themselves. */
  bool discovered = false;
  /** Path of the health endpoint of its servers. */
  std::string health_path = "/health";
  /** Connections that each discovered server accepts from the whole fleet. */
  int connection_limit = 220;
  /** How long a discovered server is cold after its start. */
  std::chrono::milliseconds cold_time{0};
  /** Requests a second that a cold server bears; 0 is no limit. */
  double cold_rate_per_s = 0;
  /** Requests in flight that a cold server bears, over the whole fleet. */
  int cold_concurrency = 1;
  /** Length of the ramp from cold_concurrency to full concurrency. */
  std::chrono::milliseconds ramp{10000};
  /** A server whose health stays unknown starts its ramp after this. */
  std::chrono::milliseconds cold_max{30000};
  /** Probes a second that one server bears, over the whole fleet. */
  double probe_budget_per_s = 1.0;
  /** Requests that may wait for a server, for each instance. */
  int queue_limit = 64;
};

/** Which requests of a route may be sent to a backend server again. */
enum class RetryRule {
  /** Those whose method HTTP calls idempotent. */
  kByMethod,
  kAlways,
  kNever,
};

/** A service that gets a part of the requests of a route. */
struct RoutePart {
  ServiceId service;
  /** Relative to the other parts. */
  int weight = 1;
};

struct Route {
  /** Name of the host in the request; empty for all hosts. */
  std::string host;
  std::string path_prefix;
  ServiceId service;
  /** Set if several services share the requests; `service` is then empty. */
  std::vector<RoutePart> split;
  /** No key is needed. */
  bool open = false;
  RetryRule retry_rule = RetryRule::kByMethod;
  /** Time limit when the caller gives none, and the most it can ask for. */
  std::chrono::milliseconds timeout{10000};
  /** An answer within this time has its full value; 0 if none is stated. */
  std::chrono::milliseconds target_latency{0};
  /** Backend servers that one request may be sent to. */
  int max_attempts = 4;
  /** 0 goes first when there is too much to do. */
  int priority = 0;
};

struct ClientAccount {
  ClientAccountId id;
  /** Requests a second over the whole fleet. */
  double rate_per_s = 0;
  /** Requests above the rate that may come at once, over the whole fleet. */
  int64_t burst = 0;
  /** Share of a service's queue, relative to other client accounts. */
  int weight = 1;
  /** False if neither rate nor burst bounds it. */
  bool limited = true;
  /** Goes before the priority of the route. */
  std::optional<int> priority = std::nullopt;
};

struct ApiKey {
  /** SHA-256 of the key, as 64 lower-case hexadecimal digits. */
  std::string digest;
  ClientAccountId client_account;
};

enum class ChangeKind {
  kDataCentreOut,
  kDataCentreIn,
  kServerDrain,
  kServerActive,
  kKeyWithdraw,
};

/** A change that comes into force at a time, without a new version. */
struct PlannedChange {
  WallTime at;
  ChangeKind kind = ChangeKind::kDataCentreOut;
  /** A data centre, server or key digest, as the kind says. */
  std::string target;
};

/** How the instances hold the rate and burst of a client account. */
enum class LimitPolicy {
  /** By shares of the entry addresses: never more than rate and burst. */
  kEntryAddresses,
  /** By reports of what the others admit: a bounded part more. */
  kSharedUsage,
};

/** What a caller may send, and how long it may take. */
struct CallerLimits {
  size_t header_bytes = 16 * 1024;
  uint64_t body_bytes = uint64_t{1} << 53;
  std::chrono::milliseconds header_time{5000};
  std::chrono::milliseconds idle_time{60000};
};

/** The configuration that operators approve, checked and decoded. */
struct Document {
  uint64_t version = 0;
  std::vector<DataCentre> data_centres;
  std::vector<Service> services;
  std::vector<Route> routes;
  std::vector<ClientAccount> client_accounts;
  std::vector<ApiKey> keys;
  std::vector<PlannedChange> planned_changes;
  /** Longest wait of a request for a token of its client account. */
  std::chrono::milliseconds admission_wait{50};
  /** How long a caller may keep the answer to "which address". */
  std::chrono::milliseconds address_keep{5000};
  CallerLimits limits;
  LimitPolicy limit_policy = LimitPolicy::kEntryAddresses;
};

}  // namespace mangodoor

#endif  // VERSION_DOCUMENT_H_
