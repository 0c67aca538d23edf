#include <algorithm>
#include <set>
#include <string>
#include <unordered_set>

#include "process/membership/rendezvous.h"
#include "process/servers/server_pool.h"

namespace mangodoor {
namespace {

/** Arguments of ApplyVersion() that apply to all servers. */
struct VersionContext {
  const Version& version;
  const Endpoint& own_address;
  const DataCentreId& own_data_centre;
  TimePoint now;
};

bool IsInService(const Version& version, const BackendServer& server) {
  const auto found = version.data_centres_by_id.find(server.data_centre);
  const bool data_centre_in =
      found != version.data_centres_by_id.end() && found->second->in_service;
  return data_centre_in && server.mode == ServerMode::kActive;
}

/** Resets everything but the outstanding requests, for a new server. */
void ResetEntry(ServerEntry& entry,
                const BackendServer& server,
                const VersionContext& context) {
  const int outstanding = entry.outstanding;
  std::vector<TimePoint> starts = std::move(entry.starts);
  entry = ServerEntry();
  entry.outstanding = outstanding;
  entry.starts = std::move(starts);
  entry.id = server.id;
  entry.endpoint = server.endpoint;
  entry.cold_start.cold_at = context.now;
}

void ApplyMode(ServerEntry& entry, bool in_service, TimePoint now) {
  if (in_service && !entry.in_service) {
    RestartRamp(entry.cold_start, now);
    entry.health_reason = HealthReason::kBackInService;
    entry.draining_at.reset();
  }
  entry.in_service = in_service;
}

void ApplyServer(ServerEntry& entry,
                 const BackendServer& server,
                 const Service& service,
                 const VersionContext& context) {
  const bool is_new =
      entry.id.empty() || !entry.listed || entry.endpoint != server.endpoint;
  if (is_new)
    ResetEntry(entry, server, context);
  entry.service = service.id;
  entry.data_centre = server.data_centre;
  entry.own_data_centre = server.data_centre == context.own_data_centre;
  entry.slots = server.slots;
  entry.fleet_connection_limit = server.connection_limit;
  ApplyMode(entry, IsInService(context.version, server), context.now);
  const std::vector<Endpoint>& addresses = context.version.entry_addresses;
  const auto rank = RendezvousRank(server.id, addresses, context.own_address);
  AddRank(entry.share_history, {rank, static_cast<int>(addresses.size())},
          context.now);
  const bool is_prober = entry.in_service && rank && *rank < kProbersPerServer;
  SetProber(entry.probe_schedule, is_prober, service.probe_budget_per_s, is_new,
            context.now);
}

void ApplyService(ServerPool& pool,
                  const Service& service,
                  const VersionContext& context) {
  ServiceEntry& entry = pool.services[service.id];
  entry.id = service.id;
  entry.cold_concurrency = service.cold_concurrency;
  entry.ramp = service.ramp;
  entry.cold_max = service.cold_max;
  entry.queue_limit = static_cast<size_t>(std::max(0, service.queue_limit));
  if (service.discovered) {
    ApplyDiscoveredService(pool, entry, service);
    return;
  }
  entry.discovered = false;
  entry.servers.clear();
  for (const BackendServer& server : service.servers) {
    ServerEntry& server_entry = pool.servers[server.id];
    ApplyServer(server_entry, server, service, context);
    entry.servers.push_back(&server_entry);
  }
}

/** True if the version sends requests of the route to the service. */
bool LeadsTo(const Route& route, const ServiceId& service) {
  return route.service == service ||
         std::any_of(
             route.split.begin(), route.split.end(),
             [&](const RoutePart& part) { return part.service == service; });
}

// A route that is added again can stand for other work than before.
void ForgetOtherRoutes(ServiceEntry& service, const Version& version) {
  std::set<std::string> names;
  for (const Route& route : version.document.routes) {
    if (LeadsTo(route, service.id))
      names.insert(NameOf(route));
  }
  KeepRoutes(service.work_model, names);
}

/**
 * Marks servers that the version no longer names as unlisted. Removes unlisted
 * servers that have no outstanding requests.
 */
void DropServers(ServerPool& pool, const Version& version) {
  std::unordered_set<BackendServerId> named;
  for (const Service& service : version.document.services) {
    for (const BackendServer& server : service.servers)
      named.insert(server.id);
  }
  for (auto it = pool.servers.begin(); it != pool.servers.end();) {
    if (!it->second.discovered && named.count(it->first) == 0)
      it->second.listed = false;
    const bool drop = !it->second.listed && it->second.outstanding == 0;
    it = drop ? pool.servers.erase(it) : std::next(it);
  }
}

void DropServices(ServerPool& pool, const Version& version) {
  for (auto it = pool.services.begin(); it != pool.services.end();) {
    if (version.services_by_id.count(it->first) > 0) {
      ++it;
      continue;
    }
    for (Waiter& waiter :
         RemoveIf(it->second.queue, [](const Waiter&) { return true; }))
      AddDecision(pool, waiter, ErrorKind::kNoServer);
    for (Waiter& waiter : it->second.placement_queue)
      AddDecision(pool, waiter, ErrorKind::kNoServer);
    it = pool.services.erase(it);
  }
}

}  // namespace

ServerActions ApplyVersion(ServerPool& pool,
                           const Version& version,
                           const Endpoint& own_address,
                           const DataCentreId& own_data_centre,
                           TimePoint now) {
  const VersionContext context{version, own_address, own_data_centre, now};
  pool.own_data_centre = own_data_centre;
  pool.account_weights.clear();
  for (const ClientAccount& account : version.document.client_accounts)
    pool.account_weights[account.id] = account.weight;
  for (const Service& service : version.document.services)
    ApplyService(pool, service, context);
  DropServices(pool, version);
  DropServers(pool, version);
  for (auto& [id, service] : pool.services)
    ForgetOtherRoutes(service, version);
  for (auto& [id, service] : pool.services)
    ServeQueue(pool, service, now);
  ServerActions actions;
  TakeDecisions(pool, actions);
  return actions;
}

}  // namespace mangodoor
