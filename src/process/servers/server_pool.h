#ifndef PROCESS_SERVERS_SERVER_POOL_H_
#define PROCESS_SERVERS_SERVER_POOL_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "process/fleet/instance_count.h"
#include "process/servers/cold_phase.h"
#include "process/servers/cold_start.h"
#include "process/servers/cold_window.h"
#include "process/servers/fair_queue.h"
#include "process/servers/instance_shares.h"
#include "process/servers/latency.h"
#include "process/servers/load_estimate.h"
#include "process/servers/outlier.h"
#include "process/servers/probe_credit.h"
#include "process/servers/probe_schedule.h"
#include "process/servers/server_record.h"
#include "process/servers/server_request.h"
#include "process/servers/server_score.h"
#include "process/servers/share_history.h"
#include "process/servers/work_model.h"
#include "process/status/status.h"
#include "version/version.h"

namespace mangodoor {

/** Why a server is regarded as cold or warm. */
enum class HealthReason {
  kUnknown,
  kReset,
  kConnectFailed,
  kAnswer,
  kProbe,
  kPeer,
  kNoReport,
  kBackInService,
};

/** State of one backend server, as known to this instance. */
struct ServerEntry {
  BackendServerId id;
  ServiceId service;
  DataCentreId data_centre;
  Endpoint endpoint;
  int slots = 1;
  int fleet_connection_limit = 1;
  /** False once it was removed; the entry is kept while requests run. */
  bool listed = true;
  /** False while it is drained or its data centre is out of service. */
  bool in_service = true;
  bool own_data_centre = false;
  ShareHistory share_history;
  ColdStart cold_start;
  HealthReason health_reason = HealthReason::kUnknown;
  /** Set while the server reports that it is draining. */
  std::optional<TimePoint> draining_at;
  /** Nothing is sent before this time, since a connection failed. */
  TimePoint down_until;
  /** Time of the latest reset or failed connection. */
  TimePoint broken_at;
  Ejection ejection;
  LoadReport load_report;
  LatencyAverage latency;
  ProbeSchedule probe_schedule;
  int outstanding = 0;
  /** Start times of the outstanding requests, oldest first. */
  std::vector<TimePoint> starts;

  // The fields below are used only for servers that register themselves.

  bool discovered = false;
  int64_t incarnation = 0;
  /** ServerRecord::revision of the record that was applied last. */
  StoreRevision record_revision;
  bool record_is_draining = false;
  ColdWindow cold_window;
  /** Set while the server is regarded as cold. */
  std::optional<ColdPhase> cold_phase;
  LoadEstimate load_estimate;
  bool probe_in_flight = false;
  /** When the latest probe was requested. */
  TimePoint probe_sent_at{};
  /** Token bucket of the probes that this instance may send. */
  double probe_tokens = 1;
  TimePoint probe_tokens_refilled_at{};
  /** Nothing is sent before this time, since a probe was not answered. */
  TimePoint unresponsive_until{};
  /** Unanswered probes in a row. */
  int unanswered_probes = 0;
};

/** What is kept for a while of a removed server that had registered itself. */
struct FormerServer {
  int64_t incarnation = 0;
  ColdWindow cold_window;
  TimePoint removed_at{};
};

/** State of one service, as known to this instance. */
struct ServiceEntry {
  ServiceId id;
  int cold_concurrency = 1;
  Duration ramp{};
  Duration cold_max{};
  size_t queue_limit = 0;
  /** Listed servers; those that a version names are in its order. */
  std::vector<ServerEntry*> servers;
  LatencyHistogram latency;
  /** Moving average of LoadReport::others over the reports of its servers. */
  double average_others = 0;
  FairQueue queue;
  /** True if its servers register themselves. */
  bool discovered = false;
  double cold_rate_per_s = 0;
  int connection_limit = 1;
  std::string health_path;
  /** Whether its servers report their load; unset until a probe shows it. */
  std::optional<bool> reports_load;
  WorkModel work_model;
  /** Requests that wait for placement on a server that reports its load. */
  std::vector<Waiter> placement_queue;
  ProbeCredit probe_credit;
};

/** A decision on a waiting request whose callback has not run yet. */
struct Decision {
  uint64_t ticket = 0;
  std::variant<ChosenServer, ErrorKind> decision;
  ServerCallback done;
};

/** All services and servers. ServerTable adds the lock. */
struct ServerPool {
  std::unordered_map<BackendServerId, ServerEntry> servers;
  std::unordered_map<ServiceId, ServiceEntry> services;
  /** Removed servers that can come back while they are, or turn, cold. */
  std::unordered_map<BackendServerId, FormerServer> former_servers;
  std::unordered_map<ClientAccountId, int> account_weights;
  DataCentreId own_data_centre;
  /** Taken out of service by an operator's command, not by the version. */
  std::set<DataCentreId> data_centres_out;
  InstanceShares shares;
  /**
   * Instances among which the connections of a server are divided; `shares` may
   * have fewer.
   */
  InstanceCount instance_count;
  uint64_t last_ticket = 0;
  /** Decisions on waiting requests, returned with the next actions. */
  std::vector<Decision> pending_decisions;
  /** Servers to probe, returned with the next actions. */
  std::vector<ChosenServer> pending_probes;
  /** Changes of cold phases, returned with the next actions. */
  std::vector<ColdPhaseEvent> pending_cold_events;
  /** Requests sent to servers while they were cold, since the start. */
  uint64_t cold_requests = 0;
  /** Limit on the probes of one server by all instances. */
  double probes_per_s = 0;
  /** Limit on the length of each placement queue. */
  size_t max_waiting = 256;
};

RampLimits LimitsOf(const ServiceEntry& service, const ServerEntry& server);

/** True if the server may get new work, regardless of its load. */
bool IsUsable(const ServerEntry& server, TimePoint now);

/** Requests that this instance may have in flight at the server now. */
int Allowance(const ServerPool& pool,
              const ServiceEntry& service,
              const ServerEntry& server,
              TimePoint now);

/** As Allowance(), for a server that registers itself. */
int DiscoveredAllowance(const ServerPool& pool,
                        const ServiceEntry& service,
                        const ServerEntry& server,
                        TimePoint now);

/** As MayStillSend(), for a server that registers itself. */
bool DiscoveredMayStillSend(const ServerPool& pool,
                            const ServerEntry& server,
                            TimePoint now);

/**
 * Erases the entry of a server that is not listed and has no outstanding
 * requests. Keeps its cold window, in case the server comes back.
 */
void EraseServer(ServerPool& pool, const BackendServerId& id, TimePoint now);

/**
 * This instance's share of the rate limit of a cold server that registers
 * itself. 0 without a grant, and for a server of another data centre that has
 * instances of its own.
 */
double ColdShare(const ServerPool& pool,
                 const ServerEntry& server,
                 TimePoint now);

/** Applies the settings of a service whose servers register themselves. */
void ApplyDiscoveredService(ServerPool& pool,
                            ServiceEntry& service,
                            const Service& document);

/** Connections that this instance may hold to the server. */
int ConnectionShare(const ServerPool& pool,
                    const ServerEntry& server,
                    TimePoint now);

/** True if one more server may be ejected: at most half of the servers. */
bool MayEjectOneMore(const ServiceEntry& service);

/** Median of the recent average latencies of the servers of a service. */
Duration MedianOfMeans(const ServiceEntry& service);

ServerEntry* FindServer(ServerPool& pool, const BackendServerId& server);
ServiceEntry* FindService(ServerPool& pool, const ServiceId& service);

/** Reserves a server for a request, or returns null if none is free. */
ServerEntry* ReserveServer(ServerPool& pool,
                           ServiceEntry& service,
                           const ServerRequirements& requirements,
                           TimePoint now,
                           uint64_t random);

ChosenServer ToChosenServer(const ServerPool& pool,
                            const ServerEntry& server,
                            TimePoint now);

/** Counts one more request that is sent to the server. */
void Reserve(ServerPool& pool, ServerEntry& server, TimePoint now);

/** True if requests for the service are placed by load; see placement.h. */
bool UsesPlacement(const ServiceEntry& service);

/**
 * Assigns free servers to waiting requests, and refuses requests that can no
 * longer be served.
 */
void ServeQueue(ServerPool& pool, ServiceEntry& service, TimePoint now);

/**
 * Adds the decision on a waiting request to `pending_decisions`; its callback
 * runs later, with no lock held.
 */
void AddDecision(ServerPool& pool,
                 Waiter& waiter,
                 std::variant<ChosenServer, ErrorKind> decision);

/** Moves what is pending in the pool into `actions`. */
void TakeDecisions(ServerPool& pool, ServerActions& actions);

// The functions of server_table.h, without the lock.

ServerActions ApplyVersion(ServerPool& pool,
                           const Version& version,
                           const Endpoint& own_address,
                           const DataCentreId& own_data_centre,
                           TimePoint now);
ServerActions ApplyRecords(ServerPool& pool,
                           const std::vector<ServerRecord>& records,
                           const std::vector<BackendServerId>& removed,
                           TimePoint now);
ServerActions SetDataCentreOut(ServerPool& pool,
                               const DataCentreId& data_centre,
                               bool out,
                               TimePoint now);
std::map<DataCentreId, double> UsableSlots(const ServerPool& pool,
                                           TimePoint now);
std::map<DataCentreId, double> CapacityOf(
    const ServerPool& pool,
    const std::vector<ServiceId>& services,
    TimePoint now);
ServerReply AcquireServer(ServerPool& pool,
                          const ServerRequirements& requirements,
                          TimePoint now,
                          uint64_t random,
                          ServerCallback done);
void CancelWait(ServerPool& pool, const ServiceId& service, uint64_t ticket);
ServerActions ReleaseServer(ServerPool& pool,
                            const BackendServerId& server,
                            const AttemptResult& result,
                            TimePoint now);
bool MayStillSend(const ServerPool& pool,
                  const BackendServerId& server,
                  TimePoint now);
ServerActions HandleProbeResult(ServerPool& pool,
                                const BackendServerId& server,
                                const ProbeResult& result,
                                TimePoint now);
ServerActions HandleServerReports(ServerPool& pool,
                                  const std::vector<ServerReport>& reports,
                                  TimePoint now);
std::vector<ServerStatus> ServerStatuses(const ServerPool& pool, TimePoint now);
ColdServersStatus StatusOfColdServers(const ServerPool& pool, TimePoint now);
std::vector<ServerReport> KnownServerStates(const ServerPool& pool,
                                            TimePoint now);
ServerActions TickServers(ServerPool& pool, TimePoint now);
std::optional<Duration> HedgeDelay(const ServerPool& pool,
                                   const ServiceId& service);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SERVER_POOL_H_
