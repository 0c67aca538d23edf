#ifndef PROCESS_SERVERS_PLACEMENT_H_
#define PROCESS_SERVERS_PLACEMENT_H_

#include <optional>
#include <vector>

#include "process/servers/server_pool.h"

namespace mangodoor {

// Placement of requests on servers that report their load. A request is sent
// only to a server that reported, a few milliseconds ago, that it has free
// capacity. A server that is slowed down by noisy neighbours is chosen only if
// it can still meet the target, or at the last moment at which it can meet the
// deadline. Without a suitable server, the request waits while one is probed: a
// probe costs far less than a response that takes five times as long.

/**
 * Adds a request to the placement queue, or returns why it is refused: it
 * cannot meet its deadline, or the queue is full.
 */
std::optional<ErrorKind> EnqueueForPlacement(ServerPool& pool,
                                             ServiceEntry& service,
                                             Waiter waiter,
                                             TimePoint now);

/**
 * Chooses servers for waiting requests, requests probes where no load is known,
 * and refuses requests that can no longer be served.
 */
void PlaceWaitingRequests(ServerPool& pool,
                          ServiceEntry& service,
                          TimePoint now);

/** Removes a waiting request without calling it back. */
void CancelPlacement(ServiceEntry& service, uint64_t ticket);

/** Handles the result of a probe of a server that registers itself. */
void HandlePlacementProbe(ServerPool& pool,
                          ServerEntry& server,
                          const ProbeResult& result,
                          TimePoint now);

/** Adds the result of an attempt to the service's work model. */
void RecordWork(ServiceEntry& service,
                const AttemptResult& result,
                TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_PLACEMENT_H_
