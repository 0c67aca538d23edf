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
 * Limit on the requests of one client account that wait at one instance. More
 * waiting requests than tokens that can arrive during the wait are of no use:
 * 140 at 800 requests a second, a burst of 100 and a wait of 50 ms.
 */
constexpr size_t kMaxQueueLength = 256;

/** A request that waits for a token. */
struct WaitingRequest {
  uint64_t ticket = 0;
  /** End of the wait: the request is refused if it has no token by then. */
  TimePoint until{};
  /** The error with which it is then refused. */
  ErrorKind refusal = ErrorKind::kRateExceeded;
  AdmissionCallback done;
};

/** Requests that wait for tokens of one client account, oldest first. */
struct AdmissionQueue {
  std::deque<WaitingRequest> waiting;
};

/** Numbers of waiting requests that were admitted and refused. */
struct QueueDecisions {
  uint64_t admitted = 0;
  uint64_t refused = 0;
};

/** Adds a request; false if the queue is full. */
bool Enqueue(AdmissionQueue& queue, WaitingRequest request);

/** Removes a request without a decision; false if it is not in the queue. */
bool Withdraw(AdmissionQueue& queue, uint64_t ticket);

/**
 * Refuses requests whose wait is over, then admits the oldest ones, each for
 * one token.
 */
QueueDecisions ServeQueue(AdmissionQueue& queue,
                          TokenBucket& bucket,
                          TimePoint now,
                          const InjectedLimitFaults& faults,
                          AccountActions& actions);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ADMISSION_QUEUE_H_
