#include "process/accounts/pending_token_requests.h"

#include <utility>

namespace mangodoor {
namespace {

// A round trip to the leader of this data centre takes 1 ms, or longer if the
// leader is busy. The timeout also applies to requests to other leaders.
constexpr Duration kTokenRequestTimeout = std::chrono::milliseconds(30);

}  // namespace

uint64_t AddTokenRequest(PendingTokenRequests& pending_requests,
                         std::function<void(int)> done,
                         TimePoint now) {
  OrderedLock lock(pending_requests.mutex);
  const uint64_t id = ++pending_requests.last_id;
  pending_requests.waiting[id] = {now, std::move(done)};
  return id;
}

std::function<void(int)> TakeTokenRequest(
    PendingTokenRequests& pending_requests,
    uint64_t id) {
  OrderedLock lock(pending_requests.mutex);
  const auto found = pending_requests.waiting.find(id);
  if (found == pending_requests.waiting.end())
    return nullptr;
  auto done = std::move(found->second.done);
  pending_requests.waiting.erase(found);
  return done;
}

std::vector<std::function<void(int)>> TakeExpiredTokenRequests(
    PendingTokenRequests& pending_requests,
    TimePoint now) {
  OrderedLock lock(pending_requests.mutex);
  std::vector<std::function<void(int)>> expired;
  // Ids grow with time, so the oldest requests come first.
  while (!pending_requests.waiting.empty() &&
         now - pending_requests.waiting.begin()->second.sent >
             kTokenRequestTimeout) {
    expired.push_back(std::move(pending_requests.waiting.begin()->second.done));
    pending_requests.waiting.erase(pending_requests.waiting.begin());
  }
  return expired;
}

}  // namespace mangodoor
