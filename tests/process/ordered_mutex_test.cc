#include "process/ordered_mutex.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

// Guards against locks taken in an order in which two threads can deadlock.
TEST(OrderedMutexDeathTest, WrongOrderAborts) {
  OrderedMutex version(LockRank::kVersion);
  OrderedMutex server(LockRank::kServer);
  EXPECT_DEATH(
      {
        OrderedLock outer(server);
        OrderedLock inner(version);
      },
      "rank 10 taken while holding rank 40");
}

TEST(OrderedMutexTest, RightOrderLocks) {
  OrderedMutex version(LockRank::kVersion);
  OrderedMutex server(LockRank::kServer);
  for (int i = 0; i < 2; ++i) {
    OrderedLock outer(version);
    OrderedLock inner(server);
  }
}

}  // namespace
}  // namespace mangodoor
