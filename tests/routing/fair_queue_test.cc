#include "process/servers/fair_queue.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

const ClientAccountId large_account("large");
const ClientAccountId small_account("small");

Waiter From(const ClientAccountId& account, uint64_t ticket) {
  Waiter waiter;
  waiter.ticket = ticket;
  waiter.requirements.client_account = account;
  return waiter;
}

std::vector<uint64_t> ServeAll(FairQueue& queue) {
  std::vector<uint64_t> order;
  while (ServeNext(queue, [&order](Waiter& waiter) {
    order.push_back(waiter.ticket);
    return true;
  })) {
  }
  return order;
}

// Guards against an account that has to wait for the backlog of another one.
TEST(FairQueueTest, AccountsTakeTurnsByWeight) {
  FairQueue queue;
  for (uint64_t ticket = 1; ticket <= 4; ++ticket)
    Push(queue, From(large_account, ticket), 2, 64);
  Push(queue, From(small_account, 11), 1, 64);
  Push(queue, From(small_account, 12), 1, 64);
  EXPECT_EQ(ServeAll(queue), (std::vector<uint64_t>{1, 2, 11, 3, 4, 12}));
  EXPECT_TRUE(queue.accounts.empty());
  EXPECT_EQ(queue.size, 0U);
}

// Guards against one account that fills the queue and locks out the others.
TEST(FairQueueTest, FullQueueMakesRoomForSmallAccount) {
  FairQueue queue;
  for (uint64_t ticket = 1; ticket <= 4; ++ticket)
    Push(queue, From(large_account, ticket), 1, 4);
  const PushResult result = Push(queue, From(small_account, 11), 1, 4);
  EXPECT_TRUE(result.queued);
  ASSERT_TRUE(result.displaced);
  EXPECT_EQ(result.displaced->ticket, 4U);
  EXPECT_FALSE(Push(queue, From(large_account, 5), 1, 4).queued);
  EXPECT_EQ(queue.size, 4U);
}

// Guards against a request without a suitable server that blocks all others.
TEST(FairQueueTest, BlockedRequestDoesNotBlockOtherAccounts) {
  FairQueue queue;
  Push(queue, From(large_account, 1), 1, 64);
  Push(queue, From(small_account, 2), 1, 64);
  const auto only_small = [](Waiter& waiter) {
    return waiter.requirements.client_account == small_account;
  };
  EXPECT_TRUE(ServeNext(queue, only_small));
  EXPECT_FALSE(ServeNext(queue, only_small));
  EXPECT_EQ(queue.size, 1U);
}

// Guards against a wrong size of the queue after removals.
TEST(FairQueueTest, RemovalUpdatesSize) {
  FairQueue queue;
  for (uint64_t ticket = 1; ticket <= 4; ++ticket)
    Push(queue, From(ticket % 2 ? large_account : small_account, ticket), 1,
         64);
  const auto removed =
      RemoveIf(queue, [](const Waiter& waiter) { return waiter.ticket != 3; });
  EXPECT_EQ(removed.size(), 3U);
  EXPECT_EQ(ServeAll(queue), (std::vector<uint64_t>{3}));
}

}  // namespace
}  // namespace mangodoor
