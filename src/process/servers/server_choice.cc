#include <algorithm>
#include <utility>

#include "process/servers/placement.h"
#include "process/servers/probe_requests.h"
#include "process/servers/server_pool.h"

namespace mangodoor {
namespace {

using Candidates = std::vector<ServerEntry*>;

bool WasTried(const ServerRequirements& requirements,
              const ServerEntry& server) {
  return std::find(requirements.tried.begin(), requirements.tried.end(),
                   server.id) != requirements.tried.end();
}

bool IsPermitted(const ServerPool& pool,
                 const ServiceEntry& service,
                 const ServerEntry& server,
                 const ServerRequirements& requirements,
                 TimePoint now) {
  return !WasTried(requirements, server) &&
         server.outstanding < Allowance(pool, service, server, now);
}

/** Servers that may get the request now. */
struct CandidateGroups {
  Candidates warm;
  Candidates cold;
  /** An ejected server whose trial request is due. */
  ServerEntry* trial = nullptr;
};

/** True if the request has to wait for a probe, which is then requested. */
bool AwaitsColdCheck(ServerPool& pool,
                     ServiceEntry& service,
                     ServerEntry& server,
                     TimePoint now) {
  if (!server.discovered || !NeedsColdCheck(pool, service, server, now))
    return false;
  RequestColdCheck(pool, service, server, now);
  return true;
}

CandidateGroups ClassifyServers(ServerPool& pool,
                                ServiceEntry& service,
                                const ServerRequirements& requirements,
                                TimePoint now) {
  CandidateGroups groups;
  for (ServerEntry* server : service.servers) {
    if (!IsPermitted(pool, service, *server, requirements, now) ||
        AwaitsColdCheck(pool, service, *server, now))
      continue;
    if (IsEjected(server->ejection)) {
      if (MayRunTrial(server->ejection, server->outstanding, now))
        groups.trial = server;
    } else if (!server->discovered && server->cold_start.cold) {
      groups.cold.push_back(server);
    } else {
      groups.warm.push_back(server);
    }
  }
  return groups;
}

// Added to the expected relative time on a server of another data centre, since
// a response from there costs more than a short wait.
constexpr double kOtherDataCentrePenalty = 1.0;

double DiscoveredScore(const ServerEntry& server, TimePoint now) {
  const double expected =
      ExpectedTime(server.load_estimate, server.outstanding, server.slots, now);
  return server.own_data_centre ? expected : expected + kOtherDataCentrePenalty;
}

double ScoreOf(const ServiceEntry& service,
               const ServerEntry& server,
               TimePoint now) {
  if (server.discovered)
    return DiscoveredScore(server, now);
  const Duration latency =
      server.latency.samples > 0 ? server.latency.mean : service.latency.p50;
  // Without this bound, an unknown latency would make all scores zero.
  constexpr Duration kMinLatency = std::chrono::microseconds(100);
  return Score(server.outstanding,
               EstimateOthers(server.load_report, service.average_others, now),
               server.slots, std::max(latency, kMinLatency));
}

ServerEntry* BetterOf(const ServiceEntry& service,
                      ServerEntry* a,
                      ServerEntry* b,
                      TimePoint now) {
  const double score_a = ScoreOf(service, *a, now);
  const double score_b = ScoreOf(service, *b, now);
  if (IsTie(score_a, score_b) && a->own_data_centre != b->own_data_centre)
    return a->own_data_centre ? a : b;
  return score_b < score_a ? b : a;
}

/**
 * The best candidate. Ties are broken by the random start, so that instances
 * with the same view do not all choose the same server.
 */
ServerEntry* PickBest(const ServiceEntry& service,
                      const Candidates& candidates,
                      TimePoint now,
                      uint64_t random) {
  const size_t count = candidates.size();
  const size_t first = random % count;
  ServerEntry* best = candidates[first];
  // All candidates are compared, not two random ones: IsPermitted() has visited
  // all of them anyway.
  for (size_t i = 1; i < count; ++i)
    best = BetterOf(service, best, candidates[(first + i) % count], now);
  return best;
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

/** Expected wait of a request that is queued now. */
Duration ExpectedWait(const ServiceEntry& service) {
  int running = 0;
  for (const ServerEntry* server : service.servers)
    running += server->outstanding;
  if (!HasQuantiles(service.latency) || running == 0)
    return Duration::zero();
  return service.latency.p50 * service.queue.size / running;
}

ServerReply RefusedReply(ErrorKind error) {
  ServerReply reply;
  reply.error = error;
  return reply;
}

ServerReply Enqueue(ServerPool& pool, ServiceEntry& service, Waiter waiter) {
  const auto weight =
      pool.account_weights.find(waiter.requirements.client_account);
  ServerReply reply;
  reply.ticket = waiter.ticket;
  PushResult pushed =
      Push(service.queue, std::move(waiter),
           weight == pool.account_weights.end() ? 1 : weight->second,
           service.queue_limit);
  if (pushed.displaced)
    AddDecision(pool, *pushed.displaced, ErrorKind::kQueueFull);
  if (!pushed.queued)
    return RefusedReply(ErrorKind::kQueueFull);
  reply.state = ServerReply::State::kWaiting;
  return reply;
}

void EndUnservableWaits(ServerPool& pool,
                        ServiceEntry& service,
                        TimePoint now) {
  for (Waiter& waiter : RemoveIf(service.queue, [now](const Waiter& candidate) {
         return candidate.requirements.deadline <= now;
       }))
    AddDecision(pool, waiter, ErrorKind::kDeadlineExceeded);
  for (Waiter& waiter : RemoveIf(service.queue, [&](const Waiter& candidate) {
         return !HasUsableServer(service, candidate.requirements, now);
       }))
    AddDecision(pool, waiter, ErrorKind::kNoServer);
}

// A probe has shown that the servers do not report their load, for which these
// requests wait.
void MoveToQueue(ServerPool& pool, ServiceEntry& service) {
  for (Waiter& waiter : std::exchange(service.placement_queue, {})) {
    if (service.queue.size >= service.queue_limit)
      AddDecision(pool, waiter, ErrorKind::kQueueFull);
    else
      Enqueue(pool, service, std::move(waiter));
  }
}

/** Removes and returns the decision on the ticket, if there is one already. */
std::optional<std::variant<ChosenServer, ErrorKind>> TakeDecision(
    ServerPool& pool,
    uint64_t ticket) {
  for (auto it = pool.pending_decisions.begin();
       it != pool.pending_decisions.end(); ++it) {
    if (it->ticket != ticket)
      continue;
    auto decision = std::move(it->decision);
    pool.pending_decisions.erase(it);
    return decision;
  }
  return std::nullopt;
}

ServerReply AcquireByPlacement(ServerPool& pool,
                               ServiceEntry& service,
                               Waiter waiter,
                               TimePoint now) {
  const uint64_t ticket = waiter.ticket;
  if (const auto refusal =
          EnqueueForPlacement(pool, service, std::move(waiter), now))
    return RefusedReply(*refusal);
  PlaceWaitingRequests(pool, service, now);
  ServerReply reply;
  reply.ticket = ticket;
  reply.state = ServerReply::State::kWaiting;
  if (auto decision = TakeDecision(pool, ticket)) {
    if (const auto* error = std::get_if<ErrorKind>(&*decision))
      return RefusedReply(*error);
    reply.state = ServerReply::State::kChosen;
    reply.chosen = std::get<ChosenServer>(std::move(*decision));
  }
  TakeDecisions(pool, reply.actions);
  return reply;
}

ServerReply AcquireFromQueue(ServerPool& pool,
                             ServiceEntry& service,
                             Waiter waiter,
                             TimePoint now) {
  const ServerRequirements& requirements = waiter.requirements;
  if (requirements.deadline <= now + ExpectedWait(service))
    return RefusedReply(ErrorKind::kDeadlineExceeded);
  CountRequest(service.probe_credit, now);
  // A new request never overtakes waiting requests.
  ServerEntry* server =
      service.queue.size == 0
          ? ReserveServer(pool, service, requirements, now, waiter.random)
          : nullptr;
  if (!server)
    return Enqueue(pool, service, std::move(waiter));
  ServerReply reply;
  reply.state = ServerReply::State::kChosen;
  reply.chosen = ToChosenServer(pool, *server, now);
  return reply;
}

}  // namespace

ServerEntry* ReserveServer(ServerPool& pool,
                           ServiceEntry& service,
                           const ServerRequirements& requirements,
                           TimePoint now,
                           uint64_t random) {
  if (service.discovered)
    RefillProbeTokens(pool, service, now);
  const CandidateGroups groups =
      ClassifyServers(pool, service, requirements, now);
  ServerEntry* server = nullptr;
  if (groups.trial && requirements.tried.empty())
    server = groups.trial;
  else if (!groups.warm.empty())
    server = PickBest(service, groups.warm, now, random);
  else if (!groups.cold.empty())
    server = PickBest(service, groups.cold, now, random);
  if (server)
    Reserve(pool, *server, now);
  return server;
}

void ServeQueue(ServerPool& pool, ServiceEntry& service, TimePoint now) {
  if (UsesPlacement(service))
    PlaceWaitingRequests(pool, service, now);
  else
    MoveToQueue(pool, service);
  if (service.queue.size == 0)
    return;
  EndUnservableWaits(pool, service, now);
  const auto serve = [&](Waiter& waiter) {
    ServerEntry* server =
        ReserveServer(pool, service, waiter.requirements, now, waiter.random);
    if (server)
      AddDecision(pool, waiter, ToChosenServer(pool, *server, now));
    return server != nullptr;
  };
  while (ServeNext(service.queue, serve)) {
  }
}

ServerReply AcquireServer(ServerPool& pool,
                          const ServerRequirements& requirements,
                          TimePoint now,
                          uint64_t random,
                          ServerCallback done) {
  ServiceEntry* service = FindService(pool, requirements.service);
  if (!service || !HasUsableServer(*service, requirements, now))
    return RefusedReply(ErrorKind::kNoServer);
  Waiter waiter{++pool.last_ticket, requirements, random, std::move(done)};
  if (UsesPlacement(*service))
    return AcquireByPlacement(pool, *service, std::move(waiter), now);
  ServerReply reply = AcquireFromQueue(pool, *service, std::move(waiter), now);
  // Probes of servers that can have turned cold.
  if (service->discovered)
    TakeDecisions(pool, reply.actions);
  return reply;
}

void CancelWait(ServerPool& pool, const ServiceId& service, uint64_t ticket) {
  // A displaced request has left the queue, but its callback may still be
  // pending.
  auto& pending_decisions = pool.pending_decisions;
  pending_decisions.erase(
      std::remove_if(pending_decisions.begin(), pending_decisions.end(),
                     [ticket](const Decision& decision) {
                       return decision.ticket == ticket;
                     }),
      pending_decisions.end());
  ServiceEntry* entry = FindService(pool, service);
  if (entry)
    CancelPlacement(*entry, ticket);
  if (entry)
    RemoveIf(entry->queue, [ticket](const Waiter& waiter) {
      return waiter.ticket == ticket;
    });
}

}  // namespace mangodoor
