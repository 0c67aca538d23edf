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

/** A request that is sent to find out whether its work still takes so long. */
struct Trial {
  /** The expected time of its work. */
  Duration doubted{};
  /** It is refused if it was not sent before this time. */
  TimePoint until{};
};

/** A request that waits for a server. */
struct Waiter {
  uint64_t ticket = 0;
  ServerRequirements requirements;
  uint64_t random = 0;
  ServerCallback done;
  /** Set for a trial request; see TakeTrial(). */
  std::optional<Trial> trial = std::nullopt;
};

/** The waiting requests of one client account, oldest first. */
struct AccountQueue {
  std::deque<Waiter> waiters;
  int weight = 1;
  /** Requests that may still be served in this round. */
  int deficit = 0;
};

/**
 * Waiting requests of one service, served by weighted deficit round robin
 * over client accounts.
 */
struct FairQueue {
  std::unordered_map<ClientAccountId, AccountQueue> accounts;
  /** Accounts with waiting requests, in the order in which they are served. */
  std::deque<ClientAccountId> round;
  size_t size = 0;
};

/** Result of Push(). */
struct PushResult {
  bool queued = false;
  /** A request that was removed to make room. */
  std::optional<Waiter> displaced;
};

/**
 * Queues a request. If the queue is full, the newest request of the account
 * with the most waiting requests relative to its weight is removed first. If
 * the new request would give its own account at least as many, nothing is
 * removed and it is not queued.
 */
PushResult Push(FairQueue& queue, Waiter waiter, int weight, size_t limit);

/**
 * Offers the oldest request of each account in turn to `serve`, until `serve`
 * returns true to accept one. Returns false if none was accepted.
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
