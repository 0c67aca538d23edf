#include "process/accounts/pending_token_requests.h"

#include <utility>

namespace mangodoor {
namespace {

// The way to the lead and back takes a millisecond; a busy one takes longer.
constexpr Duration kAskLimit = std::chrono::milliseconds(30);

}  // namespace

uint64_t AddAsk(TokenAsks& asks, std::function<void(int)> done, TimePoint now) {
  OrderedLock lock(asks.mutex);
  const uint64_t id = ++asks.last_id;
  asks.waiting[id] = {now, std::move(done)};
  return id;
}

std::function<void(int)> TakeAsk(TokenAsks& asks, uint64_t id) {
  OrderedLock lock(asks.mutex);
  const auto found = asks.waiting.find(id);
  if (found == asks.waiting.end())
    return nullptr;
  auto done = std::move(found->second.done);
  asks.waiting.erase(found);
  return done;
}

std::vector<std::function<void(int)>> TakeOverdueAsks(TokenAsks& asks,
                                                      TimePoint now) {
  OrderedLock lock(asks.mutex);
  std::vector<std::function<void(int)>> overdue;
  // Ids grow with time, so the oldest come first.
  while (!asks.waiting.empty() &&
         now - asks.waiting.begin()->second.sent > kAskLimit) {
    overdue.push_back(std::move(asks.waiting.begin()->second.done));
    asks.waiting.erase(asks.waiting.begin());
  }
  return overdue;
}

}  // namespace mangodoor
