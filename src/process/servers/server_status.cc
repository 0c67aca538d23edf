#include <algorithm>
#include <cstdio>

#include "process/servers/server_pool.h"

namespace mangodoor {
namespace {

std::string FormatSeconds(Duration duration) {
  char text[32];
  std::snprintf(text, sizeof text, "%.1f s",
                std::chrono::duration<double>(duration).count());
  return text;
}

std::string FormatAgo(TimePoint then, TimePoint now) {
  return " " + FormatSeconds(std::max(Duration::zero(), Duration(now - then))) +
         " ago";
}

const char* HealthReasonText(HealthReason health_reason) {
  switch (health_reason) {
    case HealthReason::kUnknown:
      return "nothing reported yet, first seen";
    case HealthReason::kReset:
      return "connection reset";
    case HealthReason::kConnectFailed:
      return "connection failed";
    case HealthReason::kAnswer:
      return "reported by an answer";
    case HealthReason::kProbe:
      return "reported by a probe";
    case HealthReason::kPeer:
      return "reported by a peer";
    case HealthReason::kNoReport:
      return "no report for cold_max_ms, ramp started";
    case HealthReason::kBackInService:
      return "back in service";
  }
  return "";
}

const char* EjectionText(EjectionReason reason) {
  switch (reason) {
    case EjectionReason::kNone:
      return "";
    case EjectionReason::kOldRequest:
      return "request far over the typical latency";
    case EjectionReason::kSlowAverage:
      return "average latency is an outlier";
    case EjectionReason::kFailingFast:
      return "errors in a row";
    case EjectionReason::kConnectFailed:
      return "connection failed";
    case EjectionReason::kPeerReport:
      return "reported slow by a peer";
  }
  return "";
}

ServerState StateOf(const ServerEntry& server, TimePoint now) {
  if (!server.in_service || server.draining_at)
    return ServerState::kDraining;
  if (now < server.down_until)
    return ServerState::kDown;
  if (server.cold_start.cold)
    return ServerState::kCold;
  return IsEjected(server.ejection) ? ServerState::kSlow : ServerState::kWarm;
}

std::string WarmReason(const ServiceEntry& service,
                       const ServerEntry& server,
                       TimePoint now) {
  const ColdStart& cold_start = server.cold_start;
  std::string reason = HealthReasonText(server.health_reason) +
                       FormatAgo(cold_start.warm_since, now);
  if (!IsRamped(cold_start, LimitsOf(service, server), now))
    reason += ", ramp of " + FormatSeconds(service.ramp) + " is running";
  return reason;
}

std::string ReasonOf(const ServiceEntry& service,
                     const ServerEntry& server,
                     TimePoint now) {
  if (!server.in_service)
    return "drained or out of service by the configuration";
  if (server.draining_at)
    return "reported draining" + FormatAgo(*server.draining_at, now);
  if (now < server.down_until)
    return "connection failed, next try in " +
           FormatSeconds(server.down_until - now);
  if (server.cold_start.cold)
    return HealthReasonText(server.health_reason) +
           FormatAgo(server.cold_start.cold_at, now);
  if (IsEjected(server.ejection))
    return EjectionText(server.ejection.reason) +
           FormatAgo(server.ejection.since, now);
  return WarmReason(service, server, now);
}

ServerReport MakeReport(const ServerEntry& server,
                        ServerState state,
                        TimePoint observed_at,
                        TimePoint now) {
  ServerReport report;
  report.server = server.id;
  report.state = state;
  report.age = std::max(Duration::zero(), Duration(now - observed_at));
  return report;
}

void AddReports(const ServerEntry& server,
                TimePoint now,
                std::vector<ServerReport>& reports) {
  const ColdStart& cold_start = server.cold_start;
  if (cold_start.cold && cold_start.observed_cold)
    reports.push_back(
        MakeReport(server, ServerState::kCold, cold_start.cold_at, now));
  if (!cold_start.cold && cold_start.observed_warm)
    reports.push_back(
        MakeReport(server, ServerState::kWarm, cold_start.warm_since, now));
  if (server.draining_at)
    reports.push_back(
        MakeReport(server, ServerState::kDraining, *server.draining_at, now));
  // A peer's report of a slow server is not passed on: two instances would keep
  // renewing each other's report.
  const EjectionReason reason = server.ejection.reason;
  const bool own_finding = IsEjected(server.ejection) &&
                           reason != EjectionReason::kPeerReport &&
                           reason != EjectionReason::kConnectFailed;
  if (own_finding && now < server.ejection.until)
    reports.push_back(MakeReport(server, ServerState::kSlow, now, now));
}

}  // namespace

std::vector<ServerStatus> ServerStatuses(const ServerPool& pool,
                                         TimePoint now) {
  std::vector<ServerStatus> statuses;
  for (const auto& [id, service] : pool.services) {
    for (const ServerEntry* server : service.servers) {
      ServerStatus status;
      status.server = server->id;
      status.service = service.id;
      status.data_centre = server->data_centre;
      status.state = StateOf(*server, now);
      status.reason = ReasonOf(service, *server, now);
      status.outstanding = server->outstanding;
      status.allowance = Allowance(pool, service, *server, now);
      status.latency = server->latency.mean;
      status.waiting = static_cast<int>(service.queue.size);
      statuses.push_back(std::move(status));
    }
  }
  std::sort(statuses.begin(), statuses.end(),
            [](const ServerStatus& a, const ServerStatus& b) {
              return a.server < b.server;
            });
  return statuses;
}

ColdServersStatus StatusOfColdServers(const ServerPool& pool, TimePoint now) {
  ColdServersStatus status;
  for (const auto& [id, service] : pool.services) {
    for (const ServerEntry* server : service.servers)
      status.cold += IsCold(server->cold_window, now) ? 1 : 0;
  }
  status.requests = pool.cold_requests;
  status.counts = CountsOf(pool.shares, pool.own_data_centre);
  status.share = pool.shares.cold.own_data_centre;
  return status;
}

std::vector<ServerReport> KnownServerStates(const ServerPool& pool,
                                            TimePoint now) {
  std::vector<ServerReport> reports;
  for (const auto& [id, service] : pool.services) {
    for (const ServerEntry* server : service.servers)
      AddReports(*server, now, reports);
  }
  return reports;
}

}  // namespace mangodoor
