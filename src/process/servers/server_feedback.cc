#include <algorithm>
#include <cmath>

#include "process/servers/placement.h"
#include "process/servers/server_pool.h"

namespace mangodoor {
namespace {

using End = AttemptResult::End;

// How long a peer's report that a server is down is valid: as long as the first
// back-off after a failed connection of this instance.
constexpr Duration kPeerDownValid = std::chrono::seconds(1);
// Failed connections to several servers within this time point to a fault of
// this instance's own network.
constexpr Duration kBrokenConnectionWindow = std::chrono::seconds(1);
constexpr double kAverageOthersWeight = 0.05;
// Back-off after a failed connection while no server of the service is usable.
constexpr Duration kLastResortBackOff = std::chrono::seconds(1);

ServerReport MakeReport(const ServerEntry& server, ServerState state) {
  ServerReport report;
  report.server = server.id;
  report.state = state;
  return report;
}

/**
 * True if a network fault of this instance is more likely than a fault of all
 * these servers. Broken connections are then not reported to peers, which would
 * treat healthy servers as cold.
 */
bool IsLikelyCutOff(const ServiceEntry& service, TimePoint now) {
  const auto broken =
      std::count_if(service.servers.begin(), service.servers.end(),
                    [now](const ServerEntry* server) {
                      return server->broken_at != TimePoint() &&
                             now - server->broken_at < kBrokenConnectionWindow;
                    });
  return broken > 1 && static_cast<size_t>(broken) * 2 > service.servers.size();
}

/** Context in which one observation of a server is handled. */
struct Feedback {
  ServiceEntry& service;
  ServerEntry& server;
  TimePoint now;
  ServerActions& actions;

  void AddReport(ServerState state) {
    actions.reports.push_back(MakeReport(server, state));
  }
};

void RecordOwnCold(Feedback& feedback, HealthReason health_reason) {
  if (RecordCold(feedback.server.cold_start, feedback.now))
    feedback.AddReport(ServerState::kCold);
  feedback.server.health_reason = health_reason;
}

/** Ends the back-off after a failed connection: the server was reached. */
void ClearDown(ServerEntry& server, TimePoint now) {
  if (server.ejection.reason != EjectionReason::kConnectFailed)
    return;
  server.ejection.reason = EjectionReason::kNone;
  server.ejection.until = now;
  server.down_until = now;
}

void RecordOwnWarm(Feedback& feedback,
                   TimePoint observed_at,
                   HealthReason health_reason) {
  ClearDown(feedback.server, feedback.now);
  if (!RecordWarm(feedback.server.cold_start, observed_at, feedback.now,
                  ObservationSource::kOwn))
    return;
  feedback.server.health_reason = health_reason;
  feedback.AddReport(ServerState::kWarm);
}

void RecordBrokenConnection(Feedback& feedback, HealthReason health_reason) {
  feedback.server.broken_at = feedback.now;
  feedback.server.health_reason = health_reason;
  if (feedback.server.discovered)
    return;
  const bool changed = RecordCold(feedback.server.cold_start, feedback.now);
  const bool connect_failed = health_reason == HealthReason::kConnectFailed;
  if (!IsLikelyCutOff(feedback.service, feedback.now) &&
      (changed || connect_failed))
    feedback.AddReport(connect_failed ? ServerState::kDown
                                      : ServerState::kCold);
}

// A back-off spares requests a failed attempt while other servers can take
// them. If none can, it only delays the return of the service.
void ShortenBackOffsIfNoneIsUsable(ServiceEntry& service, TimePoint now) {
  for (const ServerEntry* server : service.servers) {
    if (IsUsable(*server, now))
      return;
  }
  for (ServerEntry* server : service.servers) {
    server->down_until = std::min(server->down_until, now + kLastResortBackOff);
    if (server->ejection.reason == EjectionReason::kConnectFailed)
      server->ejection.until =
          std::min(server->ejection.until, server->down_until);
  }
}

void RecordConnectFailure(Feedback& feedback) {
  ServerEntry& server = feedback.server;
  Eject(server.ejection, EjectionReason::kConnectFailed, feedback.now);
  server.down_until = std::max(server.down_until, server.ejection.until);
  ShortenBackOffsIfNoneIsUsable(feedback.service, feedback.now);
  RecordBrokenConnection(feedback, HealthReason::kConnectFailed);
}

void EjectAsSlow(Feedback& feedback, EjectionReason reason) {
  Ejection& ejection = feedback.server.ejection;
  if (!IsEjected(ejection) && !MayEjectOneMore(feedback.service))
    return;
  if (Eject(ejection, reason, feedback.now))
    feedback.AddReport(ServerState::kSlow);
}

ServiceLatency LatencyOf(const ServiceEntry& service) {
  return {service.latency.p50, service.latency.p95, MedianOfMeans(service)};
}

Duration OldestAge(const ServerEntry& server, TimePoint now) {
  return server.starts.empty() ? Duration::zero()
                               : Duration(now - server.starts.front());
}

void CheckLatency(Feedback& feedback, Duration latency) {
  ServerEntry& server = feedback.server;
  const LatencyHistogram& typical = feedback.service.latency;
  if (IsEjected(server.ejection)) {
    const bool good = !HasQuantiles(typical) || latency <= typical.p95;
    if (!good)
      EjectAsSlow(feedback, EjectionReason::kOldRequest);
    else if (RecordGoodTrial(server.ejection, feedback.now))
      server.latency = LatencyAverage();
    return;
  }
  server.ejection.errors = 0;
  if (IsOutlier(server.latency.mean, server.latency.samples,
                MedianOfMeans(feedback.service)))
    EjectAsSlow(feedback, EjectionReason::kSlowAverage);
}

void RecordLoadReport(ServiceEntry& service,
                      ServerEntry& server,
                      int in_flight,
                      TimePoint at) {
  if (in_flight < 0 || at < server.load_report.at)
    return;
  server.load_report.others = std::max(0, in_flight - server.outstanding);
  server.load_report.at = at;
  service.average_others += kAverageOthersWeight * (server.load_report.others -
                                                    service.average_others);
}

void HandleAnswer(Feedback& feedback, const AttemptResult& result) {
  ServerEntry& server = feedback.server;
  ClearDown(server, feedback.now);
  Observe(server.latency, result.latency, feedback.now);
  Observe(feedback.service.latency, result.latency);
  CheckLatency(feedback, result.latency);
}

void HandleError(Feedback& feedback) {
  // The latency of an error is not recorded: a server that fails fast would
  // look fast and idle, and attract more requests.
  if (RecordError(feedback.server.ejection))
    EjectAsSlow(feedback, EjectionReason::kFailingFast);
}

void HandleUnfinished(Feedback& feedback, const AttemptResult& result) {
  // The request would have taken even longer, so the time counts only if it
  // raises the mean.
  if (result.latency <= feedback.server.latency.mean)
    return;
  Observe(feedback.server.latency, result.latency, feedback.now);
  CheckLatency(feedback, result.latency);
}

void HandleMetrics(Feedback& feedback, const AttemptResult& result) {
  if (result.server_load) {
    feedback.service.reports_load = true;
    RecordServerLoad(feedback.server.load_estimate, *result.server_load,
                     feedback.server.outstanding, feedback.now);
  }
  if (result.reported_in_flight)
    RecordLoadReport(feedback.service, feedback.server,
                     *result.reported_in_flight, feedback.now);
  if (!result.reported_cold)
    return;
  if (*result.reported_cold)
    RecordOwnCold(feedback, HealthReason::kAnswer);
  else
    // The server was warm at some time after the request was sent.
    RecordOwnWarm(feedback, feedback.now - result.latency,
                  HealthReason::kAnswer);
}

void HandleEnd(Feedback& feedback, const AttemptResult& result) {
  if (feedback.server.discovered)
    RecordWork(feedback.service, result, feedback.now);
  switch (result.end) {
    case End::kAnswered:
      HandleAnswer(feedback, result);
      break;
    case End::kRefusedByServer:
      // A server that registers itself also refuses requests when it is full,
      // which is not an error.
      if (!feedback.server.discovered)
        HandleError(feedback);
      break;
    case End::kServerError:
      HandleError(feedback);
      break;
    case End::kConnectFailed:
      RecordConnectFailure(feedback);
      break;
    case End::kReset:
      RecordBrokenConnection(feedback, HealthReason::kReset);
      break;
    case End::kTimeout:
    case End::kCancelled:
      HandleUnfinished(feedback, result);
      break;
    case End::kUnused:
      return;
  }
  HandleMetrics(feedback, result);
}

/** Removes the start time closest to `start`, since attempts have no ids. */
void EndOutstanding(ServerEntry& server, TimePoint start) {
  if (server.outstanding == 0)
    return;
  --server.outstanding;
  const auto nearest = std::min_element(
      server.starts.begin(), server.starts.end(),
      [start](TimePoint a, TimePoint b) {
        return std::chrono::abs(a - start) < std::chrono::abs(b - start);
      });
  server.starts.erase(nearest);
}

void UpdateDraining(ServerEntry& server,
                    ServerState state,
                    TimePoint observed_at) {
  if (state == ServerState::kDraining) {
    // It had no traffic while it drained, so it is cold when it comes back.
    RecordCold(server.cold_start, observed_at);
    server.draining_at =
        std::max(observed_at, server.draining_at.value_or(TimePoint::min()));
  } else if (server.draining_at && observed_at > *server.draining_at) {
    server.draining_at.reset();
  }
}

void ApplyProbe(Feedback& feedback, ServerState state) {
  ServerEntry& server = feedback.server;
  // The server sent its response at some time after the probe was sent.
  const TimePoint observed_at = server.probe_schedule.is_prober
                                    ? server.probe_schedule.last_probe
                                    : feedback.now;
  switch (state) {
    case ServerState::kWarm:
      UpdateDraining(server, state, observed_at);
      RecordOwnWarm(feedback, observed_at, HealthReason::kProbe);
      break;
    case ServerState::kCold:
      UpdateDraining(server, state, observed_at);
      RecordOwnCold(feedback, HealthReason::kProbe);
      break;
    case ServerState::kDown:
      RecordOwnCold(feedback, HealthReason::kProbe);
      break;
    case ServerState::kDraining:
      UpdateDraining(server, state, feedback.now);
      break;
    case ServerState::kSlow:
      break;
  }
}

/** True if a peer's report that the server is slow should be accepted. */
bool IsPlausibleSlowReport(const ServiceEntry& service,
                           const ServerEntry& server,
                           TimePoint now) {
  if (IsEjected(server.ejection))
    return true;
  const bool unknown =
      !HasQuantiles(service.latency) || server.latency.samples == 0;
  return MayEjectOneMore(service) &&
         (unknown || MayBeSlow(OldestAge(server, now), server.latency.mean,
                               LatencyOf(service)));
}

void ApplyReport(ServiceEntry& service,
                 ServerEntry& server,
                 const ServerReport& report,
                 TimePoint now) {
  const TimePoint observed_at = now - std::max(Duration::zero(), report.age);
  RecordLoadReport(service, server, report.in_flight, observed_at);
  bool changed = false;
  switch (report.state) {
    case ServerState::kWarm:
      UpdateDraining(server, report.state, observed_at);
      changed = RecordWarm(server.cold_start, observed_at, observed_at,
                           ObservationSource::kPeer);
      if (changed)
        ClearDown(server, now);
      break;
    case ServerState::kDown:
      server.down_until =
          std::max(server.down_until, observed_at + kPeerDownValid);
      changed = RecordCold(server.cold_start, observed_at);
      break;
    case ServerState::kCold:
      UpdateDraining(server, report.state, observed_at);
      changed = RecordCold(server.cold_start, observed_at);
      break;
    case ServerState::kDraining:
      UpdateDraining(server, report.state, observed_at);
      break;
    case ServerState::kSlow:
      if (IsPlausibleSlowReport(service, server, now))
        EjectOnPeerReport(server.ejection, observed_at, now);
      break;
  }
  if (changed)
    server.health_reason = HealthReason::kPeer;
}

/** Expires reported states, ejects the server if slow, adds a due probe. */
void TickServer(ServerPool& pool, Feedback& feedback) {
  ServerEntry& server = feedback.server;
  ServiceEntry& service = feedback.service;
  const TimePoint now = feedback.now;
  if (server.cold_phase)
    UpdateColdPhase(pool, server, ColdCause::kElapsed, now);
  if (server.draining_at && now - *server.draining_at >= service.cold_max)
    server.draining_at.reset();
  if (EndColdAfterTimeout(server.cold_start, LimitsOf(service, server), now))
    server.health_reason = HealthReason::kNoReport;
  const Duration oldest = OldestAge(server, now);
  if (oldest > service.latency.p95 && HasQuantiles(service.latency) &&
      IsTooOld(oldest, LatencyOf(service)))
    EjectAsSlow(feedback, EjectionReason::kOldRequest);
  if (TakeProbe(server.probe_schedule, now))
    feedback.actions.probes.push_back(ToChosenServer(pool, server, now));
}

}  // namespace

ServerActions ReleaseServer(ServerPool& pool,
                            const BackendServerId& id,
                            const AttemptResult& result,
                            TimePoint now) {
  ServerActions actions;
  ServerEntry* server = FindServer(pool, id);
  if (!server)
    return actions;
  const TimePoint start = now - result.latency;
  EndOutstanding(*server, start);
  if (result.end == End::kUnused)
    RemoveUnsent(server->cold_window, start);
  if (!server->listed) {
    if (server->outstanding == 0)
      EraseServer(pool, id, now);
    return actions;
  }
  ServiceEntry* const found_service = FindService(pool, server->service);
  if (!found_service)
    return actions;
  ServiceEntry& service = *found_service;
  Feedback feedback{service, *server, now, actions};
  HandleEnd(feedback, result);
  ServeQueue(pool, service, now);
  TakeDecisions(pool, actions);
  return actions;
}

ServerActions HandleProbeResult(ServerPool& pool,
                                const BackendServerId& id,
                                const ProbeResult& result,
                                TimePoint now) {
  ServerActions actions;
  ServerEntry* server = FindServer(pool, id);
  if (server && server->discovered) {
    HandlePlacementProbe(pool, *server, result, now);
    if (ServiceEntry* placed = FindService(pool, server->service))
      ServeQueue(pool, *placed, now);
    TakeDecisions(pool, actions);
    return actions;
  }
  if (!server || !server->listed || !result.state)
    return actions;
  ServiceEntry& service = pool.services.at(server->service);
  Feedback feedback{service, *server, now, actions};
  RecordLoadReport(service, *server, result.in_flight, now);
  ApplyProbe(feedback, *result.state);
  // The report is repeated until the ramp ends, since it can be lost.
  const RampLimits limits = LimitsOf(service, *server);
  const bool settled = IsRamped(server->cold_start, limits, now) &&
                       *result.state == ServerState::kWarm;
  if (!settled && actions.reports.empty())
    feedback.AddReport(*result.state);
  for (ServerReport& report : actions.reports)
    report.in_flight = result.in_flight;
  ServeQueue(pool, service, now);
  TakeDecisions(pool, actions);
  return actions;
}

ServerActions HandleServerReports(ServerPool& pool,
                                  const std::vector<ServerReport>& reports,
                                  TimePoint now) {
  for (const ServerReport& report : reports) {
    ServerEntry* server = FindServer(pool, report.server);
    if (!server || !server->listed)
      continue;
    ServiceEntry& service = pool.services.at(server->service);
    ApplyReport(service, *server, report, now);
    ServeQueue(pool, service, now);
  }
  ServerActions actions;
  TakeDecisions(pool, actions);
  return actions;
}

ServerActions TickServers(ServerPool& pool, TimePoint now) {
  ServerActions actions;
  for (auto& [id, service] : pool.services) {
    for (ServerEntry* server : service.servers) {
      Feedback feedback{service, *server, now, actions};
      TickServer(pool, feedback);
    }
    ServeQueue(pool, service, now);
  }
  TakeDecisions(pool, actions);
  return actions;
}

}  // namespace mangodoor
