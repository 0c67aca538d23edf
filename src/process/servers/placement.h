#ifndef PROCESS_SERVERS_PLACEMENT_H_
#define PROCESS_SERVERS_PLACEMENT_H_

#include <vector>

#include "process/servers/server_pool.h"

namespace mangodoor {

/**
 * Placement of requests on servers that state their load: a request is sent
 * only to a server that is known, from a moment ago, to be free and not slowed
 * down by its neighbours. Who does not know asks by a probe, which costs far
 * less than an answer that comes five times as late.
 */

/** Adds a request to those that wait; false if it cannot be served in time. */
bool EnqueueForPlacement(ServerPool& pool,
                         ServiceEntry& service,
                         Waiter waiter,
                         TimePoint now);

/** Gives servers to waiting requests, ends hopeless waits, asks by probes. */
void PlaceWaitingRequests(ServerPool& pool,
                          ServiceEntry& service,
                          TimePoint now);

/** Withdraws a waiting request. */
void CancelPlacement(ServiceEntry& service, uint64_t ticket);

/** Takes over the answer to a probe. */
void HandlePlacementProbe(ServerPool& pool,
                          ServerEntry& server,
                          const ProbeResult& result,
                          TimePoint now);

/** Takes over how an attempt went, for the usual time of work. */
void RecordWork(ServiceEntry& service,
                const ServerEntry& server,
                const AttemptResult& result);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_PLACEMENT_H_
