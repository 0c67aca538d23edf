#include "process/servers/server_pool.h"

#include <algorithm>
#include <utility>

namespace mangodoor {
namespace {

// The means follow a rise of load within two seconds, the p95 later. With four
// means as the delay, fewer than one request in a hundred was hedged in
// bench-routing; with the p95 alone, the hedges themselves sustained an
// overload.
constexpr int kHedgeMultiple = 4;

/**
 * Connections to a server that registers itself. The share of the limit is
 * capped at what this instance uses at the same time: the slots and a probe.
 * Instances that do not know each other then stay within the limit together
 * wherever their even shares are at least as large.
 */
int DiscoveredConnectionShare(const ServerPool& pool,
                              const ServerEntry& server) {
  constexpr int kProbeConnections = 1;
  const auto service = pool.services.find(server.service);
  const int limit =
      service == pool.services.end() ? 1 : service->second.connection_limit;
  const int even_share = std::max(1, limit / pool.instance_count.count);
  return std::min(even_share, server.slots + kProbeConnections);
}

}  // namespace

RampLimits LimitsOf(const ServiceEntry& service, const ServerEntry& server) {
  return {service.cold_concurrency, server.slots, service.ramp,
          service.cold_max};
}

bool IsUsable(const ServerEntry& server, TimePoint now) {
  return server.listed && server.in_service && !server.draining_at &&
         now >= server.down_until;
}

int Allowance(const ServerPool& pool,
              const ServiceEntry& service,
              const ServerEntry& server,
              TimePoint now) {
  if (server.discovered)
    return DiscoveredAllowance(pool, service, server, now);
  if (!IsUsable(server, now))
    return 0;
  const RampLimits limits = LimitsOf(service, server);
  const int connections = ConnectionShare(pool, server, now);
  // After its ramp, a server runs `slots` requests of the whole fleet. Each
  // instance may use all of them, because with fixed shares some would be idle
  // while other instances wait. A request beyond `slots` would only queue
  // behind this instance's own requests, so it waits here for any server with a
  // free slot.
  if (IsRamped(server.cold_start, limits, now))
    return std::min(server.slots, connections);
  const int fleet = FleetAllowance(server.cold_start, limits, now);
  return std::min(SafeShare(server.share_history, fleet, now), connections);
}

int ConnectionShare(const ServerPool& pool,
                    const ServerEntry& server,
                    TimePoint now) {
  if (server.discovered)
    return DiscoveredConnectionShare(pool, server);
  // An instance whose address is not listed has no share. One connection lets
  // it serve requests; servers accept a few connections beyond their limit.
  const bool unlisted =
      std::any_of(server.share_history.begin(), server.share_history.end(),
                  [now](const AddressRank& address_rank) {
                    return !address_rank.rank && now < address_rank.until;
                  });
  return unlisted ? 1
                  : SafeShare(server.share_history,
                              server.fleet_connection_limit, now);
}

bool MayEjectOneMore(const ServiceEntry& service) {
  const auto ejected = std::count_if(
      service.servers.begin(), service.servers.end(),
      [](const ServerEntry* server) { return IsEjected(server->ejection); });
  return static_cast<size_t>(ejected + 1) * 2 <= service.servers.size();
}

Duration MedianOfMeans(const ServiceEntry& service) {
  std::vector<Duration> means;
  for (const ServerEntry* server : service.servers) {
    if (server->latency.samples > 0)
      means.push_back(server->latency.mean);
  }
  if (means.empty())
    return Duration::max() / 16;
  // The lower median: of two servers, the faster one is the reference.
  const auto middle = means.begin() + (means.size() - 1) / 2;
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

ServerEntry* FindServer(ServerPool& pool, const BackendServerId& server) {
  const auto found = pool.servers.find(server);
  return found == pool.servers.end() ? nullptr : &found->second;
}

ServiceEntry* FindService(ServerPool& pool, const ServiceId& service) {
  const auto found = pool.services.find(service);
  return found == pool.services.end() ? nullptr : &found->second;
}

ChosenServer ToChosenServer(const ServerPool& pool,
                            const ServerEntry& server,
                            TimePoint now) {
  ChosenServer chosen;
  chosen.server = server.id;
  chosen.endpoint = server.endpoint;
  chosen.connection_limit = ConnectionShare(pool, server, now);
  return chosen;
}

void AddDecision(ServerPool& pool,
                 Waiter& waiter,
                 std::variant<ChosenServer, ErrorKind> decision) {
  pool.pending_decisions.push_back(
      {waiter.ticket, std::move(decision), std::move(waiter.done)});
  waiter.done = nullptr;
}

void TakeDecisions(ServerPool& pool, ServerActions& actions) {
  for (Decision& decision : pool.pending_decisions) {
    actions.callbacks.push_back(
        [done = std::move(decision.done),
         result = std::move(decision.decision)] { done(result); });
  }
  pool.pending_decisions.clear();
  for (ChosenServer& server : pool.pending_probes)
    actions.probes.push_back(std::move(server));
  pool.pending_probes.clear();
  for (ColdPhaseEvent& event : pool.pending_cold_events)
    actions.cold_events.push_back(std::move(event));
  pool.pending_cold_events.clear();
}

void Reserve(ServerPool& pool, ServerEntry& server, TimePoint now) {
  RecordSent(server.cold_window, now);
  if (server.cold_phase && IsCold(server.cold_window, now)) {
    CountRequest(*server.cold_phase, now);
    ++pool.cold_requests;
  }
  ++server.outstanding;
  server.starts.push_back(now);
}

bool UsesPlacement(const ServiceEntry& service) {
  return service.discovered && service.reports_load.value_or(true);
}

std::optional<Duration> HedgeDelay(const ServerPool& pool,
                                   const ServiceId& service) {
  const auto found = pool.services.find(service);
  if (found == pool.services.end() || !HasQuantiles(found->second.latency))
    return std::nullopt;
  return std::max(found->second.latency.p95,
                  MedianOfMeans(found->second) * kHedgeMultiple);
}

bool MayStillSend(const ServerPool& pool,
                  const BackendServerId& server,
                  TimePoint now) {
  const auto found = pool.servers.find(server);
  if (found == pool.servers.end() || !found->second.listed)
    return false;
  const ServerEntry& entry = found->second;
  if (entry.discovered)
    return DiscoveredMayStillSend(pool, entry, now);
  // When a warm server becomes cold, more requests can be outstanding than it
  // may now get. Those not sent yet are released until the rest are within the
  // allowance.
  const int allowance =
      Allowance(pool, pool.services.at(entry.service), entry, now);
  return allowance > 0 && entry.outstanding <= allowance;
}

}  // namespace mangodoor
