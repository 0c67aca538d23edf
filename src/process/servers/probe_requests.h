#ifndef PROCESS_SERVERS_PROBE_REQUESTS_H_
#define PROCESS_SERVERS_PROBE_REQUESTS_H_

#include "process/servers/server_pool.h"

namespace mangodoor {

// Probes of servers that register themselves, within the probe budget.

/** Adds the probes of the servers for the time since the last call. */
void RefillProbeTokens(const ServerPool& pool,
                       ServiceEntry& service,
                       TimePoint now);

/**
 * False if this instance knows few of the others, and its requests have used up
 * the probes that it may send.
 */
bool HasProbeCredit(const ServerPool& pool, const ServiceEntry& service);

/** Requests a probe; the server must have a token for it. */
void RequestProbe(ServerPool& pool,
                  ServiceEntry& service,
                  ServerEntry& server,
                  TimePoint now);

// A server can turn cold at any moment, and only a probe tells it at once.
// Servers that report their load are probed for each request. The others get as
// many requests without a probe as they may get while they are cold.

/**
 * True if one more request needs a probe first. Requests do not wait for a
 * probe that the budget does not allow, nor long for one that is not answered.
 */
bool NeedsColdCheck(const ServerPool& pool,
                    const ServiceEntry& service,
                    const ServerEntry& server,
                    TimePoint now);

/** Requests the probe for which NeedsColdCheck() makes requests wait. */
void RequestColdCheck(ServerPool& pool,
                      ServiceEntry& service,
                      ServerEntry& server,
                      TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_PROBE_REQUESTS_H_
