#include <algorithm>

#include "process/servers/server_pool.h"

namespace mangodoor {
namespace {

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

void ApplyRecord(ServerPool& pool, const ServerRecord& record, TimePoint now) {
  ServerEntry& entry = pool.servers[record.id];
  const bool is_new = entry.id.empty() || !entry.listed ||
                      entry.incarnation != record.incarnation ||
                      entry.endpoint != record.endpoint ||
                      entry.service != record.service;
  if (is_new) {
    EndColdPhase(pool, entry, ColdCause::kRemoved, now);
    RemoveFromService(pool, entry);
    ResetEntry(entry);
  }
  entry.id = record.id;
  entry.discovered = true;
  entry.incarnation = record.incarnation;
  entry.service = record.service;
  entry.data_centre = record.data_centre;
  entry.endpoint = record.endpoint;
  entry.slots = record.slots;
  entry.record_is_draining = record.draining;
  SetColdFor(entry.cold_window, record.cold_remaining, now);
  UpdateDataCentreState(pool, entry);
  UpdateColdPhase(pool, entry, ColdCause::kRecord, now);
  AddToService(pool, entry);
}

bool MaySendToCold(const ServerPool& pool,
                   const ServiceEntry& service,
                   const ServerEntry& server,
                   TimePoint now) {
  const double share = ColdShare(pool, server);
  if (share == 0)
    return false;
  const double rate_per_s = service.cold_rate_per_s * share;
  return MaySendCold(server.cold_window, {rate_per_s, pool.shares.phase}, now);
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
      pool.servers.erase(id);
  }
  ServeAllQueues(pool, now);
  ServerActions actions;
  TakeDecisions(pool, actions);
  return actions;
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

double UsableSlots(const ServerPool& pool, TimePoint now) {
  double slots = 0;
  for (const auto& [id, server] : pool.servers)
    slots += IsUsable(server, now) ? server.slots : 0;
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
    if (entry.discovered && entry.listed && entry.service == service.id)
      service.servers.push_back(&entry);
  }
  std::sort(
      service.servers.begin(), service.servers.end(),
      [](const ServerEntry* a, const ServerEntry* b) { return a->id < b->id; });
}

// The rate limit of a cold server is divided among the instances of its data
// centre. Instances of other data centres send nothing to it, unless its data
// centre has no instance.
double ColdShare(const ServerPool& pool, const ServerEntry& server) {
  if (!server.own_data_centre && HasInstance(pool.shares, server.data_centre))
    return 0;
  return OwnShare(pool.shares, server.data_centre);
}

int DiscoveredAllowance(const ServerPool& pool,
                        const ServiceEntry& service,
                        const ServerEntry& server,
                        TimePoint now) {
  if (!IsUsable(server, now))
    return 0;
  if (IsCold(server.cold_window, now) &&
      !MaySendToCold(pool, service, server, now))
    return 0;
  const int others = static_cast<int>(OthersNow(server.load_estimate, now));
  return std::max(1, server.slots - others);
}

}  // namespace mangodoor
