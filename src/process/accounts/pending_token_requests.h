#ifndef PROCESS_ACCOUNTS_PENDING_TOKEN_REQUESTS_H_
#define PROCESS_ACCOUNTS_PENDING_TOKEN_REQUESTS_H_

#include <functional>
#include <map>
#include <vector>

#include "process/clock.h"
#include "process/ordered_mutex.h"

namespace mangodoor {

/** A TokenRequest that was sent to a leader and has no reply yet. */
struct PendingTokenRequest {
  TimePoint sent{};
  /** Called once with the number of tokens granted. */
  std::function<void(int)> done;
};

/** The pending requests by id, guarded by a lock. */
struct PendingTokenRequests {
  mutable OrderedMutex mutex{LockRank::kAccount};
  uint64_t last_id = 0;
  std::map<uint64_t, PendingTokenRequest> waiting;
};

/** Adds a request and returns its id. */
uint64_t AddTokenRequest(PendingTokenRequests& pending_requests,
                         std::function<void(int)> done,
                         TimePoint now);

/** Removes a request and returns its callback; null if it is not pending. */
std::function<void(int)> TakeTokenRequest(
    PendingTokenRequests& pending_requests,
    uint64_t id);

/**
 * Removes the requests that have timed out and returns their callbacks, which
 * the caller calls with 0.
 */
std::vector<std::function<void(int)>> TakeExpiredTokenRequests(
    PendingTokenRequests& pending_requests,
    TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_PENDING_TOKEN_REQUESTS_H_
