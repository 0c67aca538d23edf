#include "process/fleet/instance_count.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Guards against an instance that uses a whole limit of the fleet because it
// has just started and knows no other.
TEST(InstanceCountTest, OthersAreAssumedAfterAStart) {
  InstanceCount instance_count;
  EXPECT_EQ(instance_count.count, kAssumedInstances);
  for (TimePoint now = kStart; now < kStart + kInstanceCountValid;
       now += milliseconds(100)) {
    RecordInstanceCount(instance_count, 1, now);
    EXPECT_EQ(instance_count.count, kAssumedInstances);
  }
}

// Guards against shares for fewer instances than are known.
TEST(InstanceCountTest, RisesAtOnce) {
  InstanceCount instance_count;
  RecordInstanceCount(instance_count, 116, kStart);
  EXPECT_EQ(instance_count.count, 116);
}

// Guards against an instance that uses the shares of others that it has lost
// touch with, and against shares that stay unused in a smaller fleet.
TEST(InstanceCountTest, FallsAfterALongTimeWithoutAHigherCount) {
  InstanceCount instance_count;
  RecordInstanceCount(instance_count, 116, kStart);
  RecordInstanceCount(instance_count, 1, kStart + seconds(29));
  EXPECT_EQ(instance_count.count, 116);
  RecordInstanceCount(instance_count, 1, kStart + kInstanceCountValid);
  EXPECT_EQ(instance_count.count, 1);
}

// Guards against a count that falls although all instances were known a moment
// ago.
TEST(InstanceCountTest, EveryCountAsHighExtendsTheTime) {
  InstanceCount instance_count;
  RecordInstanceCount(instance_count, 116, kStart);
  RecordInstanceCount(instance_count, 116, kStart + seconds(29));
  RecordInstanceCount(instance_count, 24, kStart + seconds(58));
  EXPECT_EQ(instance_count.count, 116);
  RecordInstanceCount(instance_count, 24, kStart + seconds(59));
  EXPECT_EQ(instance_count.count, 24);
}

// Guards against division by zero.
TEST(InstanceCountTest, IsAtLeastOne) {
  InstanceCount instance_count;
  RecordInstanceCount(instance_count, 0, kStart);
  RecordInstanceCount(instance_count, 0, kStart + kInstanceCountValid);
  EXPECT_EQ(instance_count.count, 1);
}

}  // namespace
}  // namespace mangodoor
