#ifndef PROCESS_ACCOUNTS_PENDING_TOKEN_REQUESTS_H_
#define PROCESS_ACCOUNTS_PENDING_TOKEN_REQUESTS_H_

#include <functional>
#include <map>
#include <vector>

#include "process/clock.h"
#include "process/ordered_mutex.h"

namespace mangodoor {

/** A question to the lead that waits for its answer. */
struct PendingTokenRequest {
  TimePoint sent{};
  std::function<void(int)> done;
};

/** The questions that wait, behind a lock. */
struct PendingTokenRequests {
  mutable OrderedMutex mutex{LockRank::kAccount};
  uint64_t last_id = 0;
  std::map<uint64_t, PendingTokenRequest> waiting;
};

/** Notes a question, and returns its id. */
uint64_t AddTokenRequest(PendingTokenRequests& pending_requests,
                         std::function<void(int)> done,
                         TimePoint now);

/** The callback of an answered question; null if it waits no more. */
std::function<void(int)> TakeTokenRequest(
    PendingTokenRequests& pending_requests,
    uint64_t id);

/** Callbacks of questions without an answer in time, to be called with 0.
 */
std::vector<std::function<void(int)>> TakeExpiredTokenRequests(
    PendingTokenRequests& pending_requests,
    TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_PENDING_TOKEN_REQUESTS_H_
