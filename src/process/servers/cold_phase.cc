#include "process/servers/cold_phase.h"

#include <algorithm>

#include "process/servers/server_pool.h"

namespace mangodoor {
namespace {

constexpr Duration kBusiestWindow = std::chrono::seconds(1);

ColdPhaseBegan Describe(const ServerPool& pool,
                        const ServerEntry& server,
                        ColdCause cause,
                        TimePoint now) {
  ColdPhaseBegan began;
  began.server = server.id;
  began.service = server.service;
  began.data_centre = server.data_centre;
  began.own_data_centre = server.own_data_centre;
  began.cause = cause;
  began.remaining = ColdUntil(server.cold_window) - now;
  began.counts = CountsOf(pool.shares, server.data_centre);
  began.share = ColdShare(pool, server, now);
  const auto service = pool.services.find(server.service);
  if (service != pool.services.end())
    began.rate_per_s = service->second.cold_rate_per_s * began.share;
  began.outstanding = server.outstanding;
  return began;
}

}  // namespace

const char* Name(ColdCause cause) {
  switch (cause) {
    case ColdCause::kRecord:
      return "record";
    case ColdCause::kProbe:
      return "probe";
    case ColdCause::kElapsed:
      return "elapsed";
    case ColdCause::kRemoved:
      return "removed";
  }
  return "elapsed";
}

void CountRequest(ColdPhase& phase, TimePoint now) {
  ++phase.requests;
  while (!phase.recent.empty() && now - phase.recent.front() >= kBusiestWindow)
    phase.recent.pop_front();
  phase.recent.push_back(now);
  phase.most_in_one_second =
      std::max(phase.most_in_one_second, phase.recent.size());
}

void UpdateColdPhase(ServerPool& pool,
                     ServerEntry& server,
                     ColdCause cause,
                     TimePoint now) {
  // A phase that has elapsed before this change ends as elapsed, even if a
  // later report says the same.
  if (server.cold_phase && server.cold_phase->until <= now)
    EndColdPhase(pool, server, ColdCause::kElapsed, server.cold_phase->until);
  // A probe can be answered after the server's record has been removed.
  if (!server.listed || !IsCold(server.cold_window, now)) {
    EndColdPhase(pool, server, cause, now);
    return;
  }
  if (!server.cold_phase) {
    server.cold_phase.emplace().began = now;
    pool.pending_cold_events.push_back(Describe(pool, server, cause, now));
  }
  server.cold_phase->until = ColdUntil(server.cold_window);
}

void EndColdPhase(ServerPool& pool,
                  ServerEntry& server,
                  ColdCause cause,
                  TimePoint now) {
  if (!server.cold_phase)
    return;
  const ColdPhase& phase = *server.cold_phase;
  pool.pending_cold_events.push_back(
      ColdPhaseEnded{server.id, server.service, cause, now - phase.began,
                     phase.requests, phase.most_in_one_second});
  server.cold_phase.reset();
}

}  // namespace mangodoor
