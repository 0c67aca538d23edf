#ifndef PROCESS_ACCOUNTS_PENDING_TOKEN_REQUESTS_H_
#define PROCESS_ACCOUNTS_PENDING_TOKEN_REQUESTS_H_

#include <functional>
#include <map>
#include <vector>

#include "process/clock.h"
#include "process/ordered_mutex.h"

namespace mangodoor {

/** A question to the lead that waits for its answer. */
struct TokenAsk {
  TimePoint sent{};
  std::function<void(int)> done;
};

/** The questions that wait, behind a lock. */
struct TokenAsks {
  mutable OrderedMutex mutex{LockRank::kAccount};
  uint64_t last_id = 0;
  std::map<uint64_t, TokenAsk> waiting;
};

/** Notes a question, and returns its id. */
uint64_t AddAsk(TokenAsks& asks, std::function<void(int)> done, TimePoint now);

/** The callback of an answered question; null if it waits no more. */
std::function<void(int)> TakeAsk(TokenAsks& asks, uint64_t id);

/** Callbacks of questions without an answer in time, to be called with 0.
 */
std::vector<std::function<void(int)>> TakeOverdueAsks(TokenAsks& asks,
                                                      TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_PENDING_TOKEN_REQUESTS_H_
