#include "process/servers/server_table.h"

#include <algorithm>
#include <utility>

namespace mangodoor {

ServerActions ApplyVersion(ServerTable& table,
                           const Version& version,
                           const Endpoint& own_address,
                           const DataCentreId& own_data_centre,
                           TimePoint now) {
  OrderedLock lock(table.mutex);
  return ApplyVersion(table.pool, version, own_address, own_data_centre, now);
}

ServerActions ApplyRecords(ServerTable& table,
                           const std::vector<ServerRecord>& records,
                           const std::vector<BackendServerId>& removed,
                           TimePoint now) {
  OrderedLock lock(table.mutex);
  return ApplyRecords(table.pool, records, removed, now);
}

ServerActions SetDataCentreOut(ServerTable& table,
                               const DataCentreId& data_centre,
                               bool out,
                               TimePoint now) {
  OrderedLock lock(table.mutex);
  return SetDataCentreOut(table.pool, data_centre, out, now);
}

std::map<DataCentreId, double> CapacityOf(
    const ServerTable& table,
    const std::vector<ServiceId>& services,
    TimePoint now) {
  OrderedLock lock(table.mutex);
  return CapacityOf(table.pool, services, now);
}

void SetInstanceShares(ServerTable& table, InstanceShares shares) {
  OrderedLock lock(table.mutex);
  table.pool.shares = std::move(shares);
}

void SetInstanceCount(ServerTable& table, int known, TimePoint now) {
  OrderedLock lock(table.mutex);
  RecordInstanceCount(table.pool.instance_count, known, now);
}

std::map<DataCentreId, double> UsableSlots(const ServerTable& table,
                                           TimePoint now) {
  OrderedLock lock(table.mutex);
  return UsableSlots(table.pool, now);
}

ServerReply AcquireServer(ServerTable& table,
                          const ServerRequirements& requirements,
                          TimePoint now,
                          uint64_t random,
                          ServerCallback done) {
  OrderedLock lock(table.mutex);
  return AcquireServer(table.pool, requirements, now, random, std::move(done));
}

void CancelWait(ServerTable& table, const ServiceId& service, uint64_t ticket) {
  OrderedLock lock(table.mutex);
  CancelWait(table.pool, service, ticket);
}

ServerActions ReleaseServer(ServerTable& table,
                            const BackendServerId& server,
                            const AttemptResult& result,
                            TimePoint now) {
  OrderedLock lock(table.mutex);
  return ReleaseServer(table.pool, server, result, now);
}

bool MayStillSend(const ServerTable& table,
                  const BackendServerId& server,
                  TimePoint now) {
  OrderedLock lock(table.mutex);
  return MayStillSend(table.pool, server, now);
}

ServerActions HandleProbeResult(ServerTable& table,
                                const BackendServerId& server,
                                const ProbeResult& result,
                                TimePoint now) {
  OrderedLock lock(table.mutex);
  return HandleProbeResult(table.pool, server, result, now);
}

ServerActions HandleServerReports(ServerTable& table,
                                  const std::vector<ServerReport>& reports,
                                  TimePoint now) {
  OrderedLock lock(table.mutex);
  return HandleServerReports(table.pool, reports, now);
}

std::vector<ServerStatus> ServerStatuses(const ServerTable& table,
                                         TimePoint now) {
  OrderedLock lock(table.mutex);
  return ServerStatuses(table.pool, now);
}

ColdServersStatus StatusOfColdServers(const ServerTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  return StatusOfColdServers(table.pool, now);
}

std::vector<ServerReport> KnownServerStates(const ServerTable& table,
                                            TimePoint now) {
  OrderedLock lock(table.mutex);
  return KnownServerStates(table.pool, now);
}

ServerActions TickServers(ServerTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  return TickServers(table.pool, now);
}

std::optional<Duration> HedgeDelay(const ServerTable& table,
                                   const ServiceId& service) {
  OrderedLock lock(table.mutex);
  return HedgeDelay(table.pool, service);
}

}  // namespace mangodoor
