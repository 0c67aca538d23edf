#include <algorithm>
#include <cmath>

#include "process/servers/placement.h"
#include "process/servers/server_pool.h"

namespace mangodoor {
namespace {

using End = AttemptResult::End;

// A peer's "down" is believed as long as a first back-off of its own lasts.
constexpr Duration kBelieveDown = std::chrono::seconds(1);
// Breaks of several servers within this time point to this instance's network.
constexpr Duration kBreakWindow = std::chrono::seconds(1);
constexpr double kUsualShare = 0.05;

ServerReport Finding(const ServerEntry& server, ServerState state) {
  ServerReport report;
  report.server = server.id;
  report.state = state;
  return report;
}

/**
 * True if this instance is more likely cut off than all these servers are
 * broken. Its findings are not shared then: peers would turn healthy servers
 * cold.
 */
bool IsLikelyCutOff(const ServiceEntry& service, TimePoint now) {
  const auto broken =
      std::count_if(service.servers.begin(), service.servers.end(),
                    [now](const ServerEntry* server) {
                      return server->broken_at != TimePoint() &&
                             now - server->broken_at < kBreakWindow;
                    });
  return broken > 1 && static_cast<size_t>(broken) * 2 > service.servers.size();
}

/** State of one call that ends an attempt. */
struct Feedback {
  ServiceEntry& service;
  ServerEntry& server;
  TimePoint now;
  ServerActions& actions;

  void Share(ServerState state) {
    actions.reports.push_back(Finding(server, state));
  }
};

void NoteOwnCold(Feedback& feedback, HealthSign sign) {
  if (NoteCold(feedback.server.cold_start, feedback.now))
    feedback.Share(ServerState::kCold);
  feedback.server.sign = sign;
}

/** The server was reached, so a failed connection no longer counts. */
void EndDown(ServerEntry& server, TimePoint now) {
  if (server.ejection.reason != EjectionReason::kConnectFailed)
    return;
  server.ejection.reason = EjectionReason::kNone;
  server.ejection.until = now;
  server.down_until = now;
}

void NoteOwnWarm(Feedback& feedback, TimePoint found, HealthSign sign) {
  EndDown(feedback.server, feedback.now);
  if (!NoteWarm(feedback.server.cold_start, found, feedback.now,
                ObservationSource::kOwn))
    return;
  feedback.server.sign = sign;
  feedback.Share(ServerState::kWarm);
}

void NoteBreak(Feedback& feedback, HealthSign sign) {
  feedback.server.broken_at = feedback.now;
  feedback.server.sign = sign;
  if (feedback.server.discovered)
    return;
  const bool news = NoteCold(feedback.server.cold_start, feedback.now);
  const bool down = sign == HealthSign::kConnectFailed;
  if (!IsLikelyCutOff(feedback.service, feedback.now) && (news || down))
    feedback.Share(down ? ServerState::kDown : ServerState::kCold);
}

void NoteDown(Feedback& feedback) {
  ServerEntry& server = feedback.server;
  Eject(server.ejection, EjectionReason::kConnectFailed, feedback.now);
  server.down_until = std::max(server.down_until, server.ejection.until);
  NoteBreak(feedback, HealthSign::kConnectFailed);
}

void EjectAsSlow(Feedback& feedback, EjectionReason reason) {
  Ejection& ejection = feedback.server.ejection;
  if (!IsEjected(ejection) && !MayEjectOneMore(feedback.service))
    return;
  if (Eject(ejection, reason, feedback.now))
    feedback.Share(ServerState::kSlow);
}

ServiceLatency LatencyOf(const ServiceEntry& service) {
  return {service.latency.p50, service.latency.p95, MedianOfMeans(service)};
}

Duration OldestAge(const ServerEntry& server, TimePoint now) {
  return server.starts.empty() ? Duration::zero()
                               : Duration(now - server.starts.front());
}

void JudgeLatency(Feedback& feedback, Duration latency) {
  ServerEntry& server = feedback.server;
  const LatencyHistogram& typical = feedback.service.latency;
  if (IsEjected(server.ejection)) {
    const bool good = !HasQuantiles(typical) || latency <= typical.p95;
    if (!good)
      EjectAsSlow(feedback, EjectionReason::kOldRequest);
    else if (NoteGoodTrial(server.ejection, feedback.now))
      server.latency = LatencyAverage();
    return;
  }
  server.ejection.errors = 0;
  if (IsOutlier(server.latency.mean, server.latency.samples,
                MedianOfMeans(feedback.service)))
    EjectAsSlow(feedback, EjectionReason::kSlowAverage);
}

void NoteLoad(ServiceEntry& service,
              ServerEntry& server,
              int in_flight,
              TimePoint at) {
  if (in_flight < 0 || at < server.load.at)
    return;
  server.load.others = std::max(0, in_flight - server.outstanding);
  server.load.at = at;
  service.usual_others +=
      kUsualShare * (server.load.others - service.usual_others);
}

void HandleAnswer(Feedback& feedback, const AttemptResult& result) {
  ServerEntry& server = feedback.server;
  EndDown(server, feedback.now);
  Observe(server.latency, result.latency, feedback.now);
  Observe(feedback.service.latency, result.latency);
  JudgeLatency(feedback, result.latency);
}

void HandleError(Feedback& feedback) {
  // The latency of an error is not recorded: a server that fails fast would
  // look quick and idle, and draw more requests.
  if (NoteError(feedback.server.ejection))
    EjectAsSlow(feedback, EjectionReason::kFailingFast);
}

void HandleCutShort(Feedback& feedback, const AttemptResult& result) {
  // The request would have taken longer still, so this only raises the mean.
  if (result.latency <= feedback.server.latency.mean)
    return;
  Observe(feedback.server.latency, result.latency, feedback.now);
  JudgeLatency(feedback, result.latency);
}

void HandleMetrics(Feedback& feedback, const AttemptResult& result) {
  if (result.server_load)
    RecordServerLoad(feedback.server.reported, *result.server_load,
                     feedback.server.outstanding, feedback.now);
  if (result.reported_in_flight)
    NoteLoad(feedback.service, feedback.server, *result.reported_in_flight,
             feedback.now);
  if (!result.reported_cold)
    return;
  if (*result.reported_cold)
    NoteOwnCold(feedback, HealthSign::kAnswer);
  else
    // The server was warm at some time after the request began.
    NoteOwnWarm(feedback, feedback.now - result.latency, HealthSign::kAnswer);
}

void HandleEnd(Feedback& feedback, const AttemptResult& result) {
  if (feedback.server.discovered)
    NoteWork(feedback.service, feedback.server, result);
  switch (result.end) {
    case End::kAnswered:
      HandleAnswer(feedback, result);
      break;
    case End::kRefusedByServer:
      // A full server that registers itself is no broken one.
      if (!feedback.server.discovered)
        HandleError(feedback);
      break;
    case End::kServerError:
      HandleError(feedback);
      break;
    case End::kConnectFailed:
      NoteDown(feedback);
      break;
    case End::kReset:
      NoteBreak(feedback, HealthSign::kReset);
      break;
    case End::kTimeout:
    case End::kCancelled:
      HandleCutShort(feedback, result);
      break;
    case End::kUnused:
      return;
  }
  HandleMetrics(feedback, result);
}

/** Removes the start that fits the latency best; attempts have no names. */
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

void HandleDrainSign(ServerEntry& server, ServerState state, TimePoint found) {
  if (state == ServerState::kDraining) {
    // A server that comes back from draining has had no traffic.
    NoteCold(server.cold_start, found);
    server.draining_at =
        std::max(found, server.draining_at.value_or(TimePoint::min()));
  } else if (server.draining_at && found > *server.draining_at) {
    server.draining_at.reset();
  }
}

void ApplyProbe(Feedback& feedback, ServerState state) {
  ServerEntry& server = feedback.server;
  // The answer was given at some time after the probe left.
  const TimePoint found =
      server.probes.prober ? server.probes.last : feedback.now;
  switch (state) {
    case ServerState::kWarm:
      HandleDrainSign(server, state, found);
      NoteOwnWarm(feedback, found, HealthSign::kProbe);
      break;
    case ServerState::kCold:
      HandleDrainSign(server, state, found);
      NoteOwnCold(feedback, HealthSign::kProbe);
      break;
    case ServerState::kDown:
      NoteOwnCold(feedback, HealthSign::kProbe);
      break;
    case ServerState::kDraining:
      HandleDrainSign(server, state, feedback.now);
      break;
    case ServerState::kSlow:
      break;
  }
}

bool IsBelievable(const ServiceEntry& service,
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
  const TimePoint found = now - std::max(Duration::zero(), report.age);
  NoteLoad(service, server, report.in_flight, found);
  bool changed = false;
  switch (report.state) {
    case ServerState::kWarm:
      HandleDrainSign(server, report.state, found);
      changed =
          NoteWarm(server.cold_start, found, found, ObservationSource::kPeer);
      if (changed)
        EndDown(server, now);
      break;
    case ServerState::kDown:
      server.down_until = std::max(server.down_until, found + kBelieveDown);
      changed = NoteCold(server.cold_start, found);
      break;
    case ServerState::kCold:
      HandleDrainSign(server, report.state, found);
      changed = NoteCold(server.cold_start, found);
      break;
    case ServerState::kDraining:
      HandleDrainSign(server, report.state, found);
      break;
    case ServerState::kSlow:
      if (IsBelievable(service, server, now))
        EjectForPeer(server.ejection, found, now);
      break;
  }
  if (changed)
    server.sign = HealthSign::kPeer;
}

/** Ends what is believed for a limited time, and finds slow servers. */
void TickServer(const ServerPool& pool, Feedback& feedback) {
  ServerEntry& server = feedback.server;
  ServiceEntry& service = feedback.service;
  const TimePoint now = feedback.now;
  if (server.draining_at && now - *server.draining_at >= service.cold_max)
    server.draining_at.reset();
  if (EndSilentCold(server.cold_start, LimitsOf(service, server), now))
    server.sign = HealthSign::kSilence;
  const Duration oldest = OldestAge(server, now);
  if (oldest > service.latency.p95 && HasQuantiles(service.latency) &&
      IsTooOld(oldest, LatencyOf(service)))
    EjectAsSlow(feedback, EjectionReason::kOldRequest);
  if (TakeProbe(server.probes, now))
    feedback.actions.probes.push_back(Describe(pool, server, now));
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
  EndOutstanding(*server, now - result.latency);
  if (!server->listed) {
    if (server->outstanding == 0)
      pool.servers.erase(id);
    return actions;
  }
  ServiceEntry* const found = FindService(pool, server->service);
  if (!found)
    return actions;
  ServiceEntry& service = *found;
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
    NoteProbe(pool, *server, result, now);
    if (ServiceEntry* placed = FindService(pool, server->service))
      ServeQueue(pool, *placed, now);
    TakeDecisions(pool, actions);
    return actions;
  }
  if (!server || !server->listed || !result.state)
    return actions;
  ServiceEntry& service = pool.services.at(server->service);
  Feedback feedback{service, *server, now, actions};
  NoteLoad(service, *server, result.in_flight, now);
  ApplyProbe(feedback, *result.state);
  // Repeated until the ramp ends, since a report to a peer may be lost.
  const RampLimits limits = LimitsOf(service, *server);
  const bool settled = IsRamped(server->cold_start, limits, now) &&
                       *result.state == ServerState::kWarm;
  if (!settled && actions.reports.empty())
    feedback.Share(*result.state);
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
