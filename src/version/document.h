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

/** A site with instances and backend servers. */
struct DataCentre {
  DataCentreId id;
  std::string region;
  /** False while the data centre is out of service: it gets no new requests. */
  bool in_service = true;
  /**
   * Addresses at which instances may accept callers. With
   * LimitPolicy::kEntryAddresses, each address of a data centre in service
   * holds an equal share of every rate and burst.
   */
  std::vector<Endpoint> entry_addresses;
};

enum class ServerMode { kActive, kDraining };

struct BackendServer {
  BackendServerId id;
  DataCentreId data_centre;
  Endpoint endpoint;
  /** Requests that the server can run at the same time. */
  int slots = 3;
  /** Connections that the server accepts from the whole fleet. */
  int connection_limit = 220;
  ServerMode mode = ServerMode::kActive;
};

struct Service {
  ServiceId id;
  /** Servers listed in the document; may be empty if `discovered`. */
  std::vector<BackendServer> servers;
  /** True if the servers register themselves. */
  bool discovered = false;
  /** Path of the health endpoint of its servers. */
  std::string health_path = "/health";
  /** Connections that each discovered server accepts from the whole fleet. */
  int connection_limit = 220;
  /**
   * How long a discovered server is cold after its start. Not used: the servers
   * report how long they stay cold.
   */
  std::chrono::milliseconds cold_time{0};
  /**
   * Requests a second that a cold discovered server can handle, over the whole
   * fleet; 0 for no limit.
   */
  double cold_rate_per_s = 0;
  /**
   * Requests in flight that a cold server of `servers` can handle, over the
   * whole fleet.
   */
  int cold_concurrency = 1;
  /** Length of the ramp from cold_concurrency to full concurrency. */
  std::chrono::milliseconds ramp{10000};
  /**
   * A cold server starts its ramp after this time without a cold report. A
   * draining report also expires after this time.
   */
  std::chrono::milliseconds cold_max{30000};
  /** Probes a second that the whole fleet can send to one of `servers`. */
  double probe_budget_per_s = 1.0;
  /**
   * Requests for this service that can wait for a server at each instance. Not
   * used while discovered servers report their load.
   */
  int queue_limit = 64;
};

/** Which requests of a route may be retried at a backend server. */
enum class RetryRule {
  /** Requests with a method that is idempotent in HTTP. */
  kByMethod,
  kAlways,
  kNever,
};

/** A service that gets a share of the requests of a route, by weight. */
struct RoutePart {
  ServiceId service;
  /** Share of the requests, relative to the other parts. */
  int weight = 1;
};

struct Route {
  /** Host name of the requests; empty for all hosts. */
  std::string host;
  std::string path_prefix;
  ServiceId service;
  /** Set if several services share the requests; `service` is then empty. */
  std::vector<RoutePart> split;
  /** True if requests need no API key. */
  bool open = false;
  RetryRule retry_rule = RetryRule::kByMethod;
  /** Time limit of a request: the default, and the most a caller can set. */
  std::chrono::milliseconds timeout{10000};
  /**
   * A response that takes longer than this is worth less to the caller; 0 if
   * the route has no target.
   */
  std::chrono::milliseconds target_latency{0};
  /** Attempts at backend servers for one request, the first one included. */
  int max_attempts = 4;
  /**
   * Decides which requests go first under overload; 0 is the highest priority.
   */
  int priority = 0;
};

/** The route's host and path prefix, which no other route has. */
inline std::string NameOf(const Route& route) {
  return route.host + route.path_prefix;
}

struct ClientAccount {
  ClientAccountId id;
  /** Requests a second over the whole fleet. */
  double rate_per_s = 0;
  /** Requests above the rate that are admitted at once, fleet-wide. */
  int64_t burst = 0;
  /** Share of a service's queue, relative to other client accounts. */
  int weight = 1;
  /** False if neither rate nor burst applies. */
  bool limited = true;
  /** Overrides the priority of the route. */
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

/** A change that comes into force at a given time, without a new version. */
struct PlannedChange {
  WallTime at;
  ChangeKind kind = ChangeKind::kDataCentreOut;
  /** Id of a data centre or backend server, or digest of a key. */
  std::string target;
};

/** How instances enforce the rate and burst of a client account. */
enum class LimitPolicy {
  /**
   * Rate and burst are divided among the entry addresses and are never
   * exceeded.
   */
  kEntryAddresses,
  /**
   * Instances report their request rates to each other. Rate and burst can be
   * exceeded, but only by a bounded amount.
   */
  kSharedUsage,
};

/**
 * Limits on the size and the duration of what a caller sends. They are not
 * enforced: connections use TimeLimits and kMaxRequestHeader.
 */
struct CallerLimits {
  size_t header_bytes = 16 * 1024;
  uint64_t body_bytes = uint64_t{1} << 53;
  std::chrono::milliseconds header_time{5000};
  std::chrono::milliseconds idle_time{60000};
};

/** The configuration that operators approve, decoded. */
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
  /** How long a caller may cache the addresses that it was given. */
  std::chrono::milliseconds address_keep{5000};
  CallerLimits limits;
  LimitPolicy limit_policy = LimitPolicy::kEntryAddresses;
};

}  // namespace mangodoor

#endif  // VERSION_DOCUMENT_H_
