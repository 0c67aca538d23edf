#ifndef PROCESS_SERVERS_FAIR_QUEUE_H_
#define PROCESS_SERVERS_FAIR_QUEUE_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include "process/servers/server_request.h"

namespace mangodoor {

/** A request that waits for a server. */
struct Waiter {
  uint64_t ticket = 0;
  ServerRequirements requirements;
  uint64_t random = 0;
  ServerCallback done;
};

/** The waiting requests of one client account, oldest first. */
struct AccountQueue {
  std::deque<Waiter> waiters;
  int weight = 1;
  /** Requests that it may still send in this round. */
  int deficit = 0;
};

/**
 * Waiting requests of one service, served by weighted deficit round robin
 * over client accounts.
 */
struct FairQueue {
  std::unordered_map<ClientAccountId, AccountQueue> accounts;
  /** Accounts with waiting requests, in the order of the round. */
  std::deque<ClientAccountId> round;
  size_t size = 0;
};

/** What became of a request that was to be queued. */
struct PushResult {
  bool queued = false;
  /** A request that had to make place for it. */
  std::optional<Waiter> displaced;
};

/**
 * Queues a request. In a full queue, a request of the account that is most
 * over its share makes place, unless that is the newcomer's own account.
 */
PushResult Push(FairQueue& queue, Waiter waiter, int weight, size_t limit);

/**
 * Offers the next requests in order to `serve`, which returns true if it took
 * the one offered. Returns after one was taken, or false if none was.
 */
bool ServeNext(FairQueue& queue, const std::function<bool(Waiter&)>& serve);

/** Removes and returns all waiters for which `drop` is true. */
std::vector<Waiter> RemoveIf(FairQueue& queue,
                             const std::function<bool(const Waiter&)>& drop);

/** Calls `visit` for every waiting request. */
void ForEach(const FairQueue& queue,
             const std::function<void(const Waiter&)>& visit);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_FAIR_QUEUE_H_
