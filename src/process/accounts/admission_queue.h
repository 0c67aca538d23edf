#ifndef PROCESS_ACCOUNTS_ADMISSION_QUEUE_H_
#define PROCESS_ACCOUNTS_ADMISSION_QUEUE_H_

#include <cstdint>
#include <deque>

#include "process/accounts/account_actions.h"
#include "process/accounts/injected_limit_faults.h"
#include "process/accounts/token_bucket.h"
#include "process/clock.h"

namespace mangodoor {

/**
 * Requests of one client account that wait at one instance. A queue as long as
 * the tokens that can arrive within the wait is enough; at 800 requests a
 * second, a burst of 100 and a wait of 50 ms these are 140.
 */
constexpr size_t kMaxWaiting = 256;

/** A request that waits for a token. */
struct WaitingRequest {
  uint64_t ticket = 0;
  /** It is refused then if it has no token. */
  TimePoint until{};
  /** What it is refused with. */
  ErrorKind refusal = ErrorKind::kRateExceeded;
  AdmissionCallback done;
};

/** Requests waiting for tokens of one client account, first come first. */
struct AdmissionQueue {
  std::deque<WaitingRequest> waiting;
};

/** What became of waiting requests. */
struct QueueDecisions {
  uint64_t admitted = 0;
  uint64_t refused = 0;
};

/** Adds a request; false if the queue is full. */
bool Enqueue(AdmissionQueue& queue, WaitingRequest request);

/** Removes a request without a decision; false if it does not wait. */
bool Withdraw(AdmissionQueue& queue, uint64_t ticket);

/** Refuses requests whose time is over, then admits as tokens allow. */
QueueDecisions ServeQueue(AdmissionQueue& queue,
                          TokenBucket& bucket,
                          TimePoint now,
                          const InjectedLimitFaults& faults,
                          AccountActions& actions);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ADMISSION_QUEUE_H_
