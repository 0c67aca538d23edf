#include "process/servers/placement.h"

#include <algorithm>
#include <utility>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

// A statement older than this says little: neighbours come and go every some
// hundred milliseconds, and other instances send in between.
constexpr Duration kFresh = milliseconds(4);

// A server that was busy or slowed down is asked again after this time.
constexpr Duration kAskAgain = milliseconds(25);

// A server that does not answer a probe is left alone, longer each time.
constexpr Duration kFirstSilence = milliseconds(300);
constexpr int kMostDoublings = 3;

// The way to the caller, and what a request waits for on its way here.
constexpr Duration kCallerMargin = milliseconds(15);

// With less time than this to spare, an answer from another data centre is
// worth its bytes.
constexpr Duration kFarSlack = milliseconds(40);

// The fastest requests take about half of the usual time.
constexpr double kFastest = 0.6;

constexpr double kGoodFactor = 1.05;

Duration Scaled(Duration duration, double factor) {
  return Duration(
      static_cast<int64_t>(static_cast<double>(duration.count()) * factor));
}

bool WasTried(const ServerRequirements& requirements,
              const ServerEntry& server) {
  return std::find(requirements.tried.begin(), requirements.tried.end(),
                   server.id) != requirements.tried.end();
}

/** The usual time of the request at a good server. */
Duration WorkOf(const ServiceEntry& service,
                const ServerRequirements& requirements) {
  return ExpectedWork(service.work, requirements.route, requirements.target);
}

/** Requests at the server, as far as this instance can tell. */
int ThereNow(const ServerEntry& server) {
  return server.outstanding + static_cast<int>(server.reported.others);
}

bool IsFresh(const ServerEntry& server, TimePoint now) {
  return now - server.reported.at <= kFresh;
}

/** How long a request takes that is sent now, relative to usual. */
double FactorOf(const ServiceEntry& service, const ServerEntry& server) {
  const bool near_full = IsNearFull(ThereNow(server), server.slots);
  return server.reported.slowness *
         (near_full ? std::max(1.0, service.work.near_full_factor) : 1);
}

/** True if the server may be sent a request, apart from its load. */
bool IsOpenTo(const ServerPool& pool,
              const ServiceEntry& service,
              const ServerEntry& server,
              const ServerRequirements& requirements,
              TimePoint now) {
  if (WasTried(requirements, server) || now < server.silent_until)
    return false;
  if (IsEjected(server.ejection) &&
      !MayTry(server.ejection, server.outstanding, now))
    return false;
  return DiscoveredAllowance(pool, service, server, now) > 0;
}

bool HasRoom(const ServiceEntry& service, const ServerEntry& server) {
  return ThereNow(server) < BestConcurrency(service.work, server.slots);
}

/** Where a waiting request stands against its time limits. */
struct Urgency {
  /** A good server now makes it in time for the full value. */
  bool in_time = false;
  /** Time that may pass before that is no longer so. */
  Duration slack{};
};

Urgency UrgencyOf(const ServiceEntry& service,
                  const ServerRequirements& requirements,
                  TimePoint now) {
  if (requirements.target_at == TimePoint::max())
    return {true, Duration::max() / 4};
  const Duration slack = requirements.target_at - kCallerMargin - now -
                         WorkOf(service, requirements);
  return {slack >= Duration::zero(), slack};
}

/** True if the request should take a server on which it takes `factor`. */
bool IsGoodEnough(const ServiceEntry& service,
                  const ServerRequirements& requirements,
                  double factor,
                  TimePoint now) {
  if (factor <= kGoodFactor)
    return true;
  const Duration expected = Scaled(WorkOf(service, requirements), factor);
  const Urgency urgency = UrgencyOf(service, requirements, now);
  if (requirements.target_at != TimePoint::max() &&
      now + expected + kCallerMargin <= requirements.target_at)
    return true;
  if (urgency.in_time)
    return false;
  // Too late for the full value: a slowed server is taken at the last moment
  // at which it may still make the deadline, and a good one before.
  const Duration left = requirements.deadline - now;
  return expected <= left && left <= Scaled(expected, 1.2) + kAskAgain;
}

ServerEntry* FindPlace(const ServerPool& pool,
                       ServiceEntry& service,
                       const Waiter& waiter,
                       TimePoint now) {
  ServerEntry* best = nullptr;
  double best_factor = 0;
  for (ServerEntry* server : service.servers) {
    if (!IsFresh(*server, now) || !HasRoom(service, *server) ||
        !IsOpenTo(pool, service, *server, waiter.requirements, now))
      continue;
    const double factor = FactorOf(service, *server);
    if (!IsGoodEnough(service, waiter.requirements, factor, now))
      continue;
    const bool nearer =
        best && server->own_data_centre && !best->own_data_centre;
    const bool farther =
        best && !server->own_data_centre && best->own_data_centre;
    if (!best || nearer || (!farther && factor < best_factor)) {
      best = server;
      best_factor = factor;
    }
  }
  return best;
}

bool MayAsk(const ServerEntry& server, TimePoint now) {
  if (server.probing || server.probe_tokens < 1)
    return false;
  const bool bad = server.reported.slowness > kGoodFactor;
  return now - server.reported.at > (bad ? kAskAgain : kFresh);
}

/** Lower is asked first. */
double AskOrder(const ServiceEntry& service,
                const ServerEntry& server,
                TimePoint now) {
  const double load =
      static_cast<double>(server.outstanding) + OthersNow(server.reported, now);
  return SlownessNow(server.reported, now) + load / std::max(1, server.slots) +
         (IsNearFull(ThereNow(server), server.slots)
              ? service.work.near_full_factor
              : 0);
}

ServerEntry* FindToAsk(const ServerPool& pool,
                       const ServiceEntry& service,
                       const Waiter& waiter,
                       bool far,
                       TimePoint now) {
  ServerEntry* best = nullptr;
  double best_order = 0;
  const size_t count = service.servers.size();
  for (size_t i = 0; i < count; ++i) {
    ServerEntry* server = service.servers[(waiter.random + i) % count];
    if (server->own_data_centre == far || !MayAsk(*server, now) ||
        server->outstanding >= BestConcurrency(service.work, server->slots) ||
        !IsOpenTo(pool, service, *server, waiter.requirements, now))
      continue;
    const double order = AskOrder(service, *server, now);
    if (!best || order < best_order) {
      best = server;
      best_order = order;
    }
  }
  return best;
}

bool HasNearServer(const ServerPool& pool,
                   const ServiceEntry& service,
                   const ServerRequirements& requirements,
                   TimePoint now) {
  return std::any_of(service.servers.begin(), service.servers.end(),
                     [&](const ServerEntry* server) {
                       return server->own_data_centre &&
                              IsOpenTo(pool, service, *server, requirements,
                                       now);
                     });
}

void Ask(ServerPool& pool, ServerEntry& server, TimePoint now) {
  server.probing = true;
  server.probe_tokens -= 1;
  ChosenServer probed = Describe(pool, server, now);
  if (const ServiceEntry* service = FindService(pool, server.service))
    probed.health_path = service->health_path;
  pool.asked.push_back(std::move(probed));
}

/** Asks one server that the waiting request may go to. */
void AskFor(ServerPool& pool,
            ServiceEntry& service,
            const Waiter& waiter,
            TimePoint now) {
  if (ServerEntry* near = FindToAsk(pool, service, waiter, false, now))
    return Ask(pool, *near, now);
  const Urgency urgency = UrgencyOf(service, waiter.requirements, now);
  const bool far = (urgency.in_time && urgency.slack < kFarSlack) ||
                   !HasNearServer(pool, service, waiter.requirements, now);
  if (!far)
    return;
  if (ServerEntry* other = FindToAsk(pool, service, waiter, true, now))
    Ask(pool, *other, now);
}

bool IsHopeless(const ServiceEntry& service,
                const Waiter& waiter,
                TimePoint now) {
  return now + Scaled(WorkOf(service, waiter.requirements), kFastest) >=
         waiter.requirements.deadline;
}

bool HasAnyServer(const ServiceEntry& service,
                  const ServerRequirements& requirements,
                  TimePoint now) {
  return std::any_of(service.servers.begin(), service.servers.end(),
                     [&](const ServerEntry* server) {
                       return IsUsable(*server, now) &&
                              !WasTried(requirements, *server);
                     });
}

// Requests that make it in time go first, by priority; the others get what is
// left.
void SortWaiting(ServiceEntry& service, TimePoint now) {
  std::stable_sort(
      service.waiting.begin(), service.waiting.end(),
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

void EndHopelessWaits(ServerPool& pool, ServiceEntry& service, TimePoint now) {
  for (Waiter& waiter : service.waiting) {
    if (IsHopeless(service, waiter, now))
      Decide(pool, waiter, ErrorKind::kDeadlineExceeded);
    else if (!HasAnyServer(service, waiter.requirements, now))
      Decide(pool, waiter, ErrorKind::kNoServer);
  }
}

void DropDecided(ServiceEntry& service) {
  auto& waiting = service.waiting;
  waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                               [](const Waiter& waiter) {
                                 return waiter.done == nullptr;
                               }),
                waiting.end());
}

void RefillProbes(const ServerPool& pool,
                  ServiceEntry& service,
                  TimePoint now) {
  constexpr double kMostSaved = 20;
  for (ServerEntry* server : service.servers) {
    const double elapsed = Seconds(now - server->probes_refilled);
    server->probes_refilled = now;
    server->probe_tokens =
        std::min(kMostSaved, server->probe_tokens +
                                 elapsed * pool.probes_per_s *
                                     OwnPart(pool.shares, server->data_centre));
  }
}

}  // namespace

bool EnqueuePlaced(ServerPool& pool,
                   ServiceEntry& service,
                   Waiter waiter,
                   TimePoint now) {
  if (IsHopeless(service, waiter, now) ||
      service.waiting.size() >= pool.most_waiting)
    return false;
  service.waiting.push_back(std::move(waiter));
  return true;
}

void PlaceWaiting(ServerPool& pool, ServiceEntry& service, TimePoint now) {
  if (service.waiting.empty())
    return;
  EndHopelessWaits(pool, service, now);
  DropDecided(service);
  RefillProbes(pool, service, now);
  SortWaiting(service, now);
  for (Waiter& waiter : service.waiting) {
    ServerEntry* server = FindPlace(pool, service, waiter, now);
    if (!server) {
      AskFor(pool, service, waiter, now);
      continue;
    }
    ChosenServer chosen = Describe(pool, *server, now);
    chosen.placement = {true, waiter.requirements.route,
                        server->reported.slowness,
                        IsNearFull(ThereNow(*server), server->slots),
                        now - server->reported.at};
    Reserve(*server, now);
    Decide(pool, waiter, std::move(chosen));
  }
  DropDecided(service);
}

void CancelPlaced(ServiceEntry& service, uint64_t ticket) {
  auto& waiting = service.waiting;
  waiting.erase(std::remove_if(waiting.begin(), waiting.end(),
                               [ticket](const Waiter& waiter) {
                                 return waiter.ticket == ticket;
                               }),
                waiting.end());
}

void NoteProbe(ServerPool& pool,
               ServerEntry& server,
               const ProbeResult& result,
               TimePoint now) {
  server.probing = false;
  if (result.cold_remaining)
    NoteColdFor(server.cold, *result.cold_remaining, now);
  if (!result.answered || result.other_server) {
    const int doublings = std::min(server.silences++, kMostDoublings);
    server.silent_until = now + kFirstSilence * (1 << doublings);
    return;
  }
  server.silences = 0;
  ServiceEntry* service = FindService(pool, server.service);
  if (!service)
    return;
  service->states_load = result.server_load.has_value();
  if (result.server_load)
    RecordServerLoad(server.reported, *result.server_load, server.outstanding,
                     now);
}

void NoteWork(ServiceEntry& service,
              const ServerEntry&,
              const AttemptResult& result) {
  if (result.end == AttemptResult::End::kAnswered)
    NoteLatency(service.work, result.placement, result.latency);
}

}  // namespace mangodoor
