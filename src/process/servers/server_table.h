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

/** All services and servers, with a lock. */
struct ServerTable {
  mutable OrderedMutex mutex{LockRank::kServer};
  ServerPool pool;
};

/** Applies the services and servers of a version. */
ServerActions ApplyVersion(ServerTable& table,
                           const Version& version,
                           const Endpoint& own_address,
                           const DataCentreId& own_data_centre,
                           TimePoint now);

/** Applies new, changed and removed records of servers. */
ServerActions ApplyRecords(ServerTable& table,
                           const std::vector<ServerRecord>& records,
                           const std::vector<BackendServerId>& removed,
                           TimePoint now);

/**
 * Takes a data centre out of service, or puts it back. Affects only servers
 * that register themselves.
 */
ServerActions SetDataCentreOut(ServerTable& table,
                               const DataCentreId& data_centre,
                               bool out,
                               TimePoint now);

/** By data centre: slots of the services' usable, not ejected servers. */
std::map<DataCentreId, double> CapacityOf(
    const ServerTable& table,
    const std::vector<ServiceId>& services,
    TimePoint now);

void SetInstanceShares(ServerTable& table, InstanceShares shares);

/** Records how many instances are known to run; see RecordInstanceCount. */
void SetInstanceCount(ServerTable& table, int known, TimePoint now);

/** Slots of all usable servers, by data centre. */
std::map<DataCentreId, double> UsableSlots(const ServerTable& table,
                                           TimePoint now);

/**
 * Reserves a server. `done` is called later if and only if the state of the
 * reply is kWaiting. `random` is uniform over all 64-bit values.
 */
ServerReply AcquireServer(ServerTable& table,
                          const ServerRequirements& requirements,
                          TimePoint now,
                          uint64_t random,
                          ServerCallback done);

/**
 * Cancels a waiting request. Its callback can still be called if it is already
 * among the actions returned by another call; a server chosen by such a
 * callback must be released as unused.
 */
void CancelWait(ServerTable& table, const ServiceId& service, uint64_t ticket);

/** Ends a reservation, and assigns the freed capacity to waiting requests. */
ServerActions ReleaseServer(ServerTable& table,
                            const BackendServerId& server,
                            const AttemptResult& result,
                            TimePoint now);

/** True if a request may still be sent to the server chosen for it earlier. */
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

ColdServersStatus StatusOfColdServers(const ServerTable& table, TimePoint now);

/** Server states known to this instance, for a newly connected peer. */
std::vector<ServerReport> KnownServerStates(const ServerTable& table,
                                            TimePoint now);

/**
 * Ends waits, expires reported states, ejects slow servers and returns due
 * probes. Called every 10 ms.
 */
ServerActions TickServers(ServerTable& table, TimePoint now);

/**
 * Time after which an idempotent request may be hedged: the service's p95
 * latency, or four times the median of its servers' average latencies if that
 * is longer. No value until there are enough samples.
 */
std::optional<Duration> HedgeDelay(const ServerTable& table,
                                   const ServiceId& service);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SERVER_TABLE_H_
