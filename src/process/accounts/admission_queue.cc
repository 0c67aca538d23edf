#include "process/accounts/admission_queue.h"

#include <algorithm>
#include <utility>

namespace mangodoor {
namespace {

void AddCallback(AdmissionCallback done,
                 std::optional<ErrorKind> error,
                 AccountActions& actions) {
  actions.callbacks.emplace_back(
      [done = std::move(done), error] { done(error); });
}

uint64_t RefuseExpired(AdmissionQueue& queue,
                       TimePoint now,
                       const InjectedLimitFaults& faults,
                       AccountActions& actions) {
  const auto is_expired = [now](const WaitingRequest& request) {
    return request.until <= now;
  };
  uint64_t refused = 0;
  for (const WaitingRequest& request : queue.waiting) {
    if (!is_expired(request))
      continue;
    AddCallback(request.done, request.refusal, actions);
    ++refused;
  }
  if (refused > 0 && !faults.refused_request_stays_in_queue) {
    queue.waiting.erase(
        std::remove_if(queue.waiting.begin(), queue.waiting.end(), is_expired),
        queue.waiting.end());
  }
  return refused;
}

uint64_t AdmitInOrder(AdmissionQueue& queue,
                      TokenBucket& bucket,
                      AccountActions& actions) {
  uint64_t admitted = 0;
  while (!queue.waiting.empty() && TakeToken(bucket)) {
    AddCallback(std::move(queue.waiting.front().done), std::nullopt, actions);
    queue.waiting.pop_front();
    ++admitted;
  }
  return admitted;
}

}  // namespace

bool Enqueue(AdmissionQueue& queue, WaitingRequest request) {
  if (queue.waiting.size() >= kMaxQueueLength)
    return false;
  queue.waiting.push_back(std::move(request));
  return true;
}

bool Withdraw(AdmissionQueue& queue, uint64_t ticket) {
  const auto found = std::find_if(queue.waiting.begin(), queue.waiting.end(),
                                  [ticket](const WaitingRequest& request) {
                                    return request.ticket == ticket;
                                  });
  if (found == queue.waiting.end())
    return false;
  queue.waiting.erase(found);
  return true;
}

QueueDecisions ServeQueue(AdmissionQueue& queue,
                          TokenBucket& bucket,
                          TimePoint now,
                          const InjectedLimitFaults& faults,
                          AccountActions& actions) {
  QueueDecisions decisions;
  if (faults.late_request_is_admitted)
    decisions.admitted += AdmitInOrder(queue, bucket, actions);
  decisions.refused = RefuseExpired(queue, now, faults, actions);
  decisions.admitted += AdmitInOrder(queue, bucket, actions);
  return decisions;
}

}  // namespace mangodoor
