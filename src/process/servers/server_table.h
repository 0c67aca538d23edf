#ifndef PROCESS_SERVERS_SERVER_TABLE_H_
#define PROCESS_SERVERS_SERVER_TABLE_H_

#include <map>
#include <optional>
#include <vector>

#include "process/clock.h"
#include "process/ordered_mutex.h"
#include "process/servers/server_pool.h"
#include "process/servers/server_request.h"
#include "process/servers/server_state.h"
#include "process/status/status.h"
#include "version/version.h"

namespace mangodoor {

/** What this instance knows of services and servers, behind a lock. */
struct ServerTable {
  mutable OrderedMutex mutex{LockRank::kServer};
  ServerPool pool;
};

/** Adopts the services and servers of a version. */
ServerActions ApplyVersion(ServerTable& table,
                           const Version& version,
                           const Endpoint& own_address,
                           const DataCentreId& own_data_centre,
                           TimePoint now);

/** Takes over servers that register themselves, and those that went away. */
ServerActions ApplyRecords(ServerTable& table,
                           const std::vector<ServerRecord>& records,
                           const std::vector<BackendServerId>& removed,
                           TimePoint now);

/** Takes a data centre out of service, or puts it back. */
ServerActions SetDataCentreOut(ServerTable& table,
                               const DataCentreId& data_centre,
                               bool out,
                               TimePoint now);

/** Slots of usable servers of the services in each data centre. */
std::map<DataCentreId, double> CapacityOf(
    const ServerTable& table,
    const std::vector<ServiceId>& services,
    TimePoint now);

/** Notes how many instances share what the servers bear. */
void SetInstanceShares(ServerTable& table, InstanceShares shares);

/** Slots of all usable servers. */
double AllSlots(const ServerTable& table, TimePoint now);

/**
 * Reserves a server. `done` is called later if and only if the reply says
 * waiting. `random` is uniform over all 64-bit values.
 */
ServerReply AcquireServer(ServerTable& table,
                          const ServerRequirements& requirements,
                          TimePoint now,
                          uint64_t random,
                          ServerCallback done);

/**
 * Withdraws a waiting request; its callback is not called after this, unless
 * it is already among actions handed out. A server that comes that way is
 * given back as unused.
 */
void CancelWait(ServerTable& table, const ServiceId& service, uint64_t ticket);

/** Ends a reservation, and gives freed capacity to waiting requests. */
ServerActions ReleaseServer(ServerTable& table,
                            const BackendServerId& server,
                            const AttemptResult& result,
                            TimePoint now);

/** True if the server may still be sent a request chosen earlier. */
bool MayStillSend(const ServerTable& table,
                  const BackendServerId& server,
                  TimePoint now);

ServerActions HandleProbeResult(ServerTable& table,
                                const BackendServerId& server,
                                const ProbeResult& result,
                                TimePoint now);

ServerActions HandleServerReports(ServerTable& table,
                                  const std::vector<ServerReport>& reports,
                                  TimePoint now);

std::vector<ServerStatus> ServerStatuses(const ServerTable& table,
                                         TimePoint now);

/** States known here, for a peer that has just connected. */
std::vector<ServerReport> KnownServerStates(const ServerTable& table,
                                            TimePoint now);

/** Ends waits, advances ramps, names due probes. Called every 10 ms. */
ServerActions TickServers(ServerTable& table, TimePoint now);

/**
 * Time after which an idempotent request may be hedged: the service's p95
 * latency, and more while its recent latencies rise. No value until enough
 * requests have been answered.
 */
std::optional<Duration> HedgeDelay(const ServerTable& table,
                                   const ServiceId& service);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SERVER_TABLE_H_
