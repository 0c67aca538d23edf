#include "process/servers/placement.h"

#include <algorithm>
#include <utility>

#include "process/servers/probe_requests.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

// An older load report says little: noisy neighbours come and go every few
// hundred milliseconds, and other instances send requests in the meantime.
constexpr Duration kLoadReportValid = milliseconds(4);

// A server whose report says that it is slowed down is probed again after this
// time.
constexpr Duration kSlowServerProbeInterval = milliseconds(25);

// Responses report the load, but not that the server has turned cold. So a warm
// server is probed after this time, if it has a limit while cold.
constexpr Duration kColdStateValid = milliseconds(500);

// A server that does not answer a probe gets no requests or probes for this
// time, which doubles with each unanswered probe.
constexpr Duration kFirstProbeBackOff = milliseconds(300);
constexpr int kMaxProbeBackOffDoublings = 3;

// Time for the response to reach the caller, and for delays of the request on
// its way to this instance.
constexpr Duration kCallerMargin = milliseconds(15);

// For a request with less slack than this, servers of other data centres are
// probed, too: a response from there is then worth the traffic.
constexpr Duration kRemoteProbeSlack = milliseconds(40);

// How long a trial request may wait for a server. Its deadline is probably too
// short, so its caller must not wait for nothing.
constexpr Duration kMaxTrialWait = milliseconds(100);

// Up to this factor, a server counts as not slowed down.
constexpr double kMaxGoodSlowdown = 1.05;

Duration Scaled(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

bool WasTried(const ServerRequirements& requirements,
              const ServerEntry& server) {
  return std::find(requirements.tried.begin(), requirements.tried.end(),
                   server.id) != requirements.tried.end();
}

/** Usual time of the request on a server that is not slowed down. */
Duration UsualWork(const ServiceEntry& service,
                   const ServerRequirements& requirements) {
  return ExpectedWork(service.work_model, requirements.route,
                      requirements.target);
}

/** Requests at the server: own ones, and those of others as last reported. */
int RequestsAt(const ServerEntry& server) {
  return server.outstanding + static_cast<int>(server.load_estimate.others);
}

bool IsFresh(const ServerEntry& server, TimePoint now) {
  return now - server.load_estimate.at <= kLoadReportValid;
}

/**
 * True if the server has to be probed because it can have turned cold. Requests
 * do not wait for a probe that the budget does not allow.
 */
bool NeedsColdProbe(const ServiceEntry& service,
                    const ServerEntry& server,
                    TimePoint now) {
  const ColdWindow& window = server.cold_window;
  return service.cold_rate_per_s > 0 && !IsCold(window, now) &&
         window.probed_at && now - *window.probed_at > kColdStateValid &&
         (server.probe_in_flight || server.probe_tokens >= 1);
}

/** Expected time of a request that is sent now, relative to usual. */
double SlowdownOf(const ServiceEntry& service,
                  const ServerEntry& server,
                  TimePoint now) {
  const bool near_full = IsNearFull(RequestsAt(server), server.slots);
  return server.load_estimate.slowness *
         (near_full ? std::max(1.0, NearFullFactor(service.work_model, now))
                    : 1);
}

/** True if the request may be sent to the server, regardless of its load. */
bool MayReceive(const ServerPool& pool,
                const ServiceEntry& service,
                const ServerEntry& server,
                const ServerRequirements& requirements,
                TimePoint now) {
  if (WasTried(requirements, server) || now < server.unresponsive_until)
    return false;
  if (IsEjected(server.ejection) &&
      !MayRunTrial(server.ejection, server.outstanding, now))
    return false;
  return DiscoveredAllowance(pool, service, server, now) > 0;
}

bool HasCapacity(const ServiceEntry& service,
                 const ServerEntry& server,
                 TimePoint now) {
  return RequestsAt(server) <
         BestConcurrency(service.work_model, server.slots, now);
}

/** How urgent a waiting request is. */
struct Urgency {
  /** True if a good server could still answer before `target_at`. */
  bool in_time = false;
  /** Time until `in_time` becomes false; negative if it is false. */
  Duration slack{};
};

Urgency UrgencyOf(const ServiceEntry& service,
                  const ServerRequirements& requirements,
                  TimePoint now) {
  if (requirements.target_at == TimePoint::max())
    return {true, Duration::max() / 4};
  const Duration slack = requirements.target_at - kCallerMargin - now -
                         UsualWork(service, requirements);
  return {slack >= Duration::zero(), slack};
}

/** True if the request should be sent to a server with this slowdown. */
bool IsGoodEnough(const ServiceEntry& service,
                  const ServerRequirements& requirements,
                  double slowdown,
                  TimePoint now) {
  if (slowdown <= kMaxGoodSlowdown)
    return true;
  const Duration expected = Scaled(UsualWork(service, requirements), slowdown);
  const Urgency urgency = UrgencyOf(service, requirements, now);
  if (requirements.target_at != TimePoint::max() &&
      now + expected + kCallerMargin <= requirements.target_at)
    return true;
  if (urgency.in_time)
    return false;
  // The request will miss its target time. A slowed server is chosen only at
  // the last moment at which it can still meet the deadline, since a good
  // server may become free before that.
  const Duration left = requirements.deadline - now;
  return expected <= left &&
         left <= Scaled(expected, 1.2) + kSlowServerProbeInterval;
}

ServerEntry* FindBestServer(const ServerPool& pool,
                            ServiceEntry& service,
                            const Waiter& waiter,
                            TimePoint now) {
  ServerEntry* best = nullptr;
  double best_slowdown = 0;
  for (ServerEntry* server : service.servers) {
    if (!IsFresh(*server, now) || NeedsColdProbe(service, *server, now) ||
        !HasCapacity(service, *server, now) ||
        !MayReceive(pool, service, *server, waiter.requirements, now))
      continue;
    const double slowdown = SlowdownOf(service, *server, now);
    if (!IsGoodEnough(service, waiter.requirements, slowdown, now))
      continue;
    const bool is_closer =
        best && server->own_data_centre && !best->own_data_centre;
    const bool is_more_remote =
        best && !server->own_data_centre && best->own_data_centre;
    if (!best || is_closer || (!is_more_remote && slowdown < best_slowdown)) {
      best = server;
      best_slowdown = slowdown;
    }
  }
  return best;
}

bool MayProbe(const ServiceEntry& service,
              const ServerEntry& server,
              TimePoint now) {
  if (server.probe_in_flight || server.probe_tokens < 1)
    return false;
  if (NeedsColdProbe(service, server, now))
    return true;
  const bool bad = server.load_estimate.slowness > kMaxGoodSlowdown;
  return now - server.load_estimate.at >
         (bad ? kSlowServerProbeInterval : kLoadReportValid);
}

/** The server with the lowest score is probed first. */
double ProbeScore(const ServiceEntry& service,
                  const ServerEntry& server,
                  TimePoint now) {
  const double load = static_cast<double>(server.outstanding) +
                      OthersNow(server.load_estimate, now);
  return SlownessNow(server.load_estimate, now) +
         load / std::max(1, server.slots) +
         (IsNearFull(RequestsAt(server), server.slots)
              ? NearFullFactor(service.work_model, now)
              : 0);
}

ServerEntry* FindServerToProbe(const ServerPool& pool,
                               const ServiceEntry& service,
                               const Waiter& waiter,
                               bool remote,
                               TimePoint now) {
  ServerEntry* best = nullptr;
  double best_score = 0;
  const size_t count = service.servers.size();
  for (size_t i = 0; i < count; ++i) {
    ServerEntry* server = service.servers[(waiter.random + i) % count];
    if (server->own_data_centre == remote || !MayProbe(service, *server, now) ||
        server->outstanding >=
            BestConcurrency(service.work_model, server->slots, now) ||
        !MayReceive(pool, service, *server, waiter.requirements, now))
      continue;
    const double score = ProbeScore(service, *server, now);
    if (!best || score < best_score) {
      best = server;
      best_score = score;
    }
  }
  return best;
}

bool HasLocalServer(const ServerPool& pool,
                    const ServiceEntry& service,
                    const ServerRequirements& requirements,
                    TimePoint now) {
  return std::any_of(service.servers.begin(), service.servers.end(),
                     [&](const ServerEntry* server) {
                       return server->own_data_centre &&
                              MayReceive(pool, service, *server, requirements,
                                         now);
                     });
}

/** Requests a probe of one server that the waiting request may be sent to. */
void RequestProbeFor(ServerPool& pool,
                     ServiceEntry& service,
                     const Waiter& waiter,
                     TimePoint now) {
  if (!HasProbeCredit(pool, service))
    return;
  if (ServerEntry* local = FindServerToProbe(pool, service, waiter, false, now))
    return RequestProbe(pool, service, *local, now);
  const Urgency urgency = UrgencyOf(service, waiter.requirements, now);
  const bool remote = (urgency.in_time && urgency.slack < kRemoteProbeSlack) ||
                      !HasLocalServer(pool, service, waiter.requirements, now);
  if (!remote)
    return;
  if (ServerEntry* remote_server =
          FindServerToProbe(pool, service, waiter, true, now))
    RequestProbe(pool, service, *remote_server, now);
}

bool CannotMeetDeadline(const ServiceEntry& service,
                        const Waiter& waiter,
                        TimePoint now) {
  const ServerRequirements& requirements = waiter.requirements;
  const Duration needed =
      waiter.trial ? Duration::zero()
                   : ShortestWork(service.work_model, requirements.route,
                                  requirements.target);
  return now + needed >= requirements.deadline ||
         (waiter.trial && now >= waiter.trial->until);
}

/** Makes the request a trial if one is due and its deadline seems too short. */
void MakeTrialIfDue(ServiceEntry& service, Waiter& waiter, TimePoint now) {
  const ServerRequirements& requirements = waiter.requirements;
  if (now >= requirements.deadline || !CannotMeetDeadline(service, waiter, now))
    return;
  const Duration doubted = UsualWork(service, requirements);
  if (TakeTrial(service.work_model,
                {requirements.route, requirements.idempotent}, now))
    waiter.trial = Trial{doubted, now + kMaxTrialWait};
}

bool HasUsableServer(const ServiceEntry& service,
                     const ServerRequirements& requirements,
                     TimePoint now) {
  return std::any_of(service.servers.begin(), service.servers.end(),
                     [&](const ServerEntry* server) {
                       return IsUsable(*server, now) &&
                              !WasTried(requirements, *server);
                     });
}

// Requests that can still be answered by their target time come first, by
// priority; the others get the remaining capacity.
void SortWaiting(ServiceEntry& service, TimePoint now) {
  std::stable_sort(
      service.placement_queue.begin(), service.placement_queue.end(),
      [&](const Waiter& a, const Waiter& b) {
        const bool a_in_time = UrgencyOf(service, a.requirements, now).in_time;
        const bool b_in_time = UrgencyOf(service, b.requirements, now).in_time;
        if (a_in_time != b_in_time)
          return a_in_time;
        if (a.requirements.priority != b.requirements.priority)
          return a.requirements.priority < b.requirements.priority;
        return a.requirements.deadline < b.requirements.deadline;
      });
}

void EndUnservableWaits(ServerPool& pool,
                        ServiceEntry& service,
                        TimePoint now) {
  for (Waiter& waiter : service.placement_queue) {
    if (CannotMeetDeadline(service, waiter, now))
      AddDecision(pool, waiter, ErrorKind::kDeadlineExceeded);
    else if (!HasUsableServer(service, waiter.requirements, now))
      AddDecision(pool, waiter, ErrorKind::kNoServer);
  }
}

void DropDecided(ServiceEntry& service) {
  auto& waiting = service.placement_queue;
  waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                               [](const Waiter& waiter) {
                                 return waiter.done == nullptr;
                               }),
                waiting.end());
}

}  // namespace

std::optional<ErrorKind> EnqueueForPlacement(ServerPool& pool,
                                             ServiceEntry& service,
                                             Waiter waiter,
                                             TimePoint now) {
  if (service.placement_queue.size() >= pool.max_waiting)
    return ErrorKind::kQueueFull;
  MakeTrialIfDue(service, waiter, now);
  if (CannotMeetDeadline(service, waiter, now))
    return ErrorKind::kDeadlineExceeded;
  service.placement_queue.push_back(std::move(waiter));
  CountRequest(service.probe_credit, now);
  return std::nullopt;
}

void PlaceWaitingRequests(ServerPool& pool,
                          ServiceEntry& service,
                          TimePoint now) {
  if (service.placement_queue.empty())
    return;
  EndUnservableWaits(pool, service, now);
  DropDecided(service);
  RefillProbeTokens(pool, service, now);
  Refill(service.probe_credit, now);
  SortWaiting(service, now);
  for (Waiter& waiter : service.placement_queue) {
    ServerEntry* server = FindBestServer(pool, service, waiter, now);
    if (!server) {
      RequestProbeFor(pool, service, waiter, now);
      continue;
    }
    ChosenServer chosen = ToChosenServer(pool, *server, now);
    chosen.placement = {
        true,
        waiter.requirements.route,
        server->load_estimate.slowness,
        IsNearFull(RequestsAt(*server), server->slots),
        now - server->load_estimate.at,
        waiter.trial ? std::optional(waiter.trial->doubted) : std::nullopt};
    Reserve(pool, *server, now);
    AddDecision(pool, waiter, std::move(chosen));
  }
  DropDecided(service);
}

void CancelPlacement(ServiceEntry& service, uint64_t ticket) {
  auto& waiting = service.placement_queue;
  waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                               [ticket](const Waiter& waiter) {
                                 return waiter.ticket == ticket;
                               }),
                waiting.end());
}

void HandlePlacementProbe(ServerPool& pool,
                          ServerEntry& server,
                          const ProbeResult& result,
                          TimePoint now) {
  server.probe_in_flight = false;
  if (!result.answered || result.other_server) {
    const int doublings =
        std::min(server.unanswered_probes++, kMaxProbeBackOffDoublings);
    server.unresponsive_until = now + kFirstProbeBackOff * (1 << doublings);
    return;
  }
  server.unanswered_probes = 0;
  server.cold_window.probed_at = now;
  if (result.cold_remaining) {
    SetColdByProbe(server.cold_window, *result.cold_remaining,
                   server.probe_sent_at, now);
    UpdateColdPhase(pool, server, ColdCause::kProbe, now);
  }
  ServiceEntry* service = FindService(pool, server.service);
  if (!service)
    return;
  // A refusal without a load says nothing about the service's servers.
  if (result.healthy || result.server_load)
    service->reports_load = result.server_load.has_value();
  if (result.server_load)
    RecordServerLoad(server.load_estimate, *result.server_load,
                     server.outstanding, now);
}

void RecordWork(ServiceEntry& service,
                const AttemptResult& result,
                TimePoint now) {
  if (result.end == AttemptResult::End::kAnswered)
    RecordLatency(service.work_model, result.placement, result.latency, now);
}

}  // namespace mangodoor
