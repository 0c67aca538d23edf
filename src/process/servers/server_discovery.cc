#include <algorithm>
#include <iterator>
#include <utility>

#include "process/servers/server_pool.h"

namespace mangodoor {
namespace {

constexpr Duration kFormerServerKept = std::chrono::minutes(1);

/** Resets everything but the outstanding requests and their start times. */
void ResetEntry(ServerEntry& entry) {
  const int outstanding = entry.outstanding;
  std::vector<TimePoint> starts = std::move(entry.starts);
  entry = ServerEntry();
  entry.outstanding = outstanding;
  entry.starts = std::move(starts);
}

void UpdateDataCentreState(const ServerPool& pool, ServerEntry& entry) {
  entry.own_data_centre = entry.data_centre == pool.own_data_centre;
  entry.in_service = !entry.record_is_draining &&
                     pool.data_centres_out.count(entry.data_centre) == 0;
}

void RemoveFromService(ServerPool& pool, ServerEntry& entry) {
  if (ServiceEntry* service = FindService(pool, entry.service)) {
    auto& servers = service->servers;
    servers.erase(std::remove(servers.begin(), servers.end(), &entry),
                  servers.end());
  }
}

void AddToService(ServerPool& pool, ServerEntry& entry) {
  ServiceEntry* service = FindService(pool, entry.service);
  if (!service || !service->discovered)
    return;
  auto& servers = service->servers;
  if (std::find(servers.begin(), servers.end(), &entry) == servers.end())
    servers.push_back(&entry);
}

void DropOutdatedFormerServers(ServerPool& pool, TimePoint now) {
  auto& former = pool.former_servers;
  for (auto it = former.begin(); it != former.end();) {
    const bool outdated = now - it->second.removed_at >= kFormerServerKept ||
                          !IsRelevant(it->second.cold_window, now);
    it = outdated ? former.erase(it) : std::next(it);
  }
}

/**
 * Removes and returns the known cold window of the server that the record
 * describes; an empty one for a new server or incarnation.
 */
ColdWindow TakeColdWindow(ServerPool& pool,
                          ServerEntry& entry,
                          const ServerRecord& record) {
  if (entry.id == record.id)
    return entry.incarnation == record.incarnation
               ? std::move(entry.cold_window)
               : ColdWindow();
  const auto found = pool.former_servers.find(record.id);
  if (found == pool.former_servers.end())
    return {};
  FormerServer former = std::move(found->second);
  pool.former_servers.erase(found);
  return former.incarnation == record.incarnation
             ? std::move(former.cold_window)
             : ColdWindow();
}

void ApplyRecord(ServerPool& pool, const ServerRecord& record, TimePoint now) {
  ServerEntry& entry = pool.servers[record.id];
  const bool is_new = entry.id.empty() || !entry.listed ||
                      entry.incarnation != record.incarnation ||
                      entry.endpoint != record.endpoint ||
                      entry.service != record.service;
  if (is_new) {
    EndColdPhase(pool, entry, ColdCause::kRemoved, now);
    ColdWindow cold_window = TakeColdWindow(pool, entry, record);
    RemoveFromService(pool, entry);
    ResetEntry(entry);
    entry.cold_window = std::move(cold_window);
    entry.probe_tokens_refilled_at = now;
  }
  entry.id = record.id;
  entry.discovered = true;
  entry.incarnation = record.incarnation;
  entry.service = record.service;
  entry.data_centre = record.data_centre;
  entry.endpoint = record.endpoint;
  entry.slots = record.slots;
  entry.record_is_draining = record.draining;
  // The remaining time counts from when the record was first read, so that it
  // must not be applied twice.
  if (record.revision == StoreRevision() ||
      record.revision != entry.record_revision)
    SetColdByRecord(entry.cold_window, record.cold_remaining, now);
  entry.record_revision = record.revision;
  UpdateDataCentreState(pool, entry);
  UpdateColdPhase(pool, entry, ColdCause::kRecord, now);
  AddToService(pool, entry);
}

ColdLimit ColdLimitOf(const ServerPool& pool,
                      const ServiceEntry& service,
                      const ServerEntry& server,
                      TimePoint now) {
  return {service.cold_rate_per_s * ColdShare(pool, server, now),
          pool.shares.cold.phase};
}

bool IsColdLimited(const ServiceEntry& service,
                   const ServerEntry& server,
                   TimePoint now) {
  return service.cold_rate_per_s > 0 && IsCold(server.cold_window, now);
}

void ServeAllQueues(ServerPool& pool, TimePoint now) {
  for (auto& [id, service] : pool.services)
    ServeQueue(pool, service, now);
}

}  // namespace

ServerActions ApplyRecords(ServerPool& pool,
                           const std::vector<ServerRecord>& records,
                           const std::vector<BackendServerId>& removed,
                           TimePoint now) {
  for (const ServerRecord& record : records)
    ApplyRecord(pool, record, now);
  for (const BackendServerId& id : removed) {
    ServerEntry* entry = FindServer(pool, id);
    if (!entry || !entry->discovered)
      continue;
    EndColdPhase(pool, *entry, ColdCause::kRemoved, now);
    RemoveFromService(pool, *entry);
    entry->listed = false;
    if (entry->outstanding == 0)
      EraseServer(pool, id, now);
  }
  ServeAllQueues(pool, now);
  ServerActions actions;
  TakeDecisions(pool, actions);
  return actions;
}

void EraseServer(ServerPool& pool, const BackendServerId& id, TimePoint now) {
  DropOutdatedFormerServers(pool, now);
  const auto found = pool.servers.find(id);
  if (found == pool.servers.end())
    return;
  const ServerEntry& entry = found->second;
  if (entry.discovered && IsRelevant(entry.cold_window, now))
    pool.former_servers[id] = {entry.incarnation, entry.cold_window, now};
  pool.servers.erase(found);
}

ServerActions SetDataCentreOut(ServerPool& pool,
                               const DataCentreId& data_centre,
                               bool out,
                               TimePoint now) {
  if (out)
    pool.data_centres_out.insert(data_centre);
  else
    pool.data_centres_out.erase(data_centre);
  for (auto& [id, entry] : pool.servers) {
    if (entry.discovered)
      UpdateDataCentreState(pool, entry);
  }
  ServeAllQueues(pool, now);
  ServerActions actions;
  TakeDecisions(pool, actions);
  return actions;
}

std::map<DataCentreId, double> UsableSlots(const ServerPool& pool,
                                           TimePoint now) {
  std::map<DataCentreId, double> slots;
  for (const auto& [id, server] : pool.servers) {
    if (IsUsable(server, now))
      slots[server.data_centre] += server.slots;
  }
  return slots;
}

std::map<DataCentreId, double> CapacityOf(
    const ServerPool& pool,
    const std::vector<ServiceId>& services,
    TimePoint now) {
  std::map<DataCentreId, double> capacity;
  for (const ServiceId& id : services) {
    const auto service = pool.services.find(id);
    if (service == pool.services.end())
      continue;
    for (const ServerEntry* server : service->second.servers) {
      if (IsUsable(*server, now) && !IsEjected(server->ejection))
        capacity[server->data_centre] += server->slots;
    }
  }
  return capacity;
}

void ApplyDiscoveredService(ServerPool& pool,
                            ServiceEntry& service,
                            const Service& document) {
  service.discovered = true;
  service.cold_rate_per_s = document.cold_rate_per_s;
  service.connection_limit = document.connection_limit;
  service.health_path = document.health_path;
  service.servers.clear();
  for (auto& [id, entry] : pool.servers) {
    if (!entry.discovered || !entry.listed || entry.service != service.id)
      continue;
    // Its record can have been read before the first version, which has the own
    // data centre.
    UpdateDataCentreState(pool, entry);
    service.servers.push_back(&entry);
  }
  std::sort(
      service.servers.begin(), service.servers.end(),
      [](const ServerEntry* a, const ServerEntry* b) { return a->id < b->id; });
}

bool DiscoveredMayStillSend(const ServerPool& pool,
                            const ServerEntry& server,
                            TimePoint now) {
  if (!IsUsable(server, now))
    return false;
  const auto service = pool.services.find(server.service);
  if (service == pool.services.end() ||
      !IsColdLimited(service->second, server, now))
    return true;
  return MayStillSendCold(server.cold_window,
                          ColdLimitOf(pool, service->second, server, now), now);
}

// The instances of its data centre divide the limit of a cold server. Those of
// other data centres send nothing to it, unless its data centre has no
// instance.
double ColdShare(const ServerPool& pool,
                 const ServerEntry& server,
                 TimePoint now) {
  const ColdShares& shares = pool.shares.cold;
  if (now >= shares.until)
    return 0;
  if (server.own_data_centre)
    return shares.own_data_centre;
  return shares.unattended.count(server.data_centre) > 0 ? shares.elsewhere : 0;
}

int DiscoveredAllowance(const ServerPool& pool,
                        const ServiceEntry& service,
                        const ServerEntry& server,
                        TimePoint now) {
  if (!IsUsable(server, now))
    return 0;
  if (IsColdLimited(service, server, now) &&
      !MaySendCold(server.cold_window, ColdLimitOf(pool, service, server, now),
                   now))
    return 0;
  const int others = static_cast<int>(OthersNow(server.load_estimate, now));
  return std::max(1, server.slots - others);
}

}  // namespace mangodoor
