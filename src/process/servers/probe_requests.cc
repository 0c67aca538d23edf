#include "process/servers/probe_requests.h"

#include <algorithm>
#include <utility>

namespace mangodoor {
namespace {

/**
 * True if this instance knows only a few of the instances that are assumed to
 * run: it has just started, or is cut off from the others. Its share of the
 * probe budget is then far too large.
 */
bool KnowsFewInstances(const ServerPool& pool) {
  constexpr int kAssumedPerKnownInstance = 4;
  return TotalInstances(pool.shares) * kAssumedPerKnownInstance <
         pool.instance_count.count;
}

/** Requests in one second that this instance may send to a cold server. */
int ColdRequestsPerSecond(const ServerPool& pool,
                          const ServiceEntry& service,
                          const ServerEntry& server,
                          TimePoint now) {
  const double share = ColdShare(pool, server, now);
  return std::max(1, static_cast<int>(service.cold_rate_per_s * share));
}

bool MayProbe(const ServerPool& pool,
              const ServiceEntry& service,
              const ServerEntry& server) {
  return !server.probe_in_flight && server.probe_tokens >= 1 &&
         HasProbeCredit(pool, service);
}

}  // namespace

void RefillProbeTokens(const ServerPool& pool,
                       ServiceEntry& service,
                       TimePoint now) {
  constexpr double kMaxTokens = 20;
  // An instance that knows few of the others has too large a share, and must
  // not save it up until it knows them.
  constexpr double kMaxTokensOfFewInstances = 1;
  const double max_tokens =
      KnowsFewInstances(pool) ? kMaxTokensOfFewInstances : kMaxTokens;
  for (ServerEntry* server : service.servers) {
    const double per_s =
        pool.probes_per_s *
        ProbeShare(pool.shares, server->data_centre, server->own_data_centre);
    const double elapsed = Seconds(now - server->probe_tokens_refilled_at);
    server->probe_tokens_refilled_at = now;
    server->probe_tokens =
        std::min(max_tokens, server->probe_tokens + elapsed * per_s);
  }
}

bool HasProbeCredit(const ServerPool& pool, const ServiceEntry& service) {
  return !KnowsFewInstances(pool) || HasProbe(service.probe_credit);
}

void RequestProbe(ServerPool& pool,
                  ServiceEntry& service,
                  ServerEntry& server,
                  TimePoint now) {
  server.probe_in_flight = true;
  server.probe_sent_at = now;
  server.probe_tokens -= 1;
  TakeProbe(service.probe_credit);
  ChosenServer probed = ToChosenServer(pool, server, now);
  probed.health_path = service.health_path;
  pool.pending_probes.push_back(std::move(probed));
}

// A probe that is not answered waits behind requests, as it may at such a
// server. Until the next one, it gets what a cold server may get.
bool NeedsColdCheck(const ServerPool& pool,
                    const ServiceEntry& service,
                    const ServerEntry& server,
                    TimePoint now) {
  if (service.cold_rate_per_s <= 0 || IsCold(server.cold_window, now))
    return false;
  const int unchecked = SentSinceProbe(server.cold_window, now);
  return unchecked >= ColdRequestsPerSecond(pool, service, server, now) &&
         (now < server.unresponsive_until || server.probe_in_flight ||
          MayProbe(pool, service, server));
}

void RequestColdCheck(ServerPool& pool,
                      ServiceEntry& service,
                      ServerEntry& server,
                      TimePoint now) {
  if (now >= server.unresponsive_until && MayProbe(pool, service, server))
    RequestProbe(pool, service, server, now);
}

}  // namespace mangodoor
