#include "process/servers/instance_shares.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

const DataCentreId here("here");

InstanceShares Shares(int instances, int takers, bool takes_calls) {
  InstanceShares shares;
  shares.instances = {{here, instances}};
  shares.takers = {{here, takers}};
  shares.takes_calls = takes_calls;
  return shares;
}

// Guards against a share that lies idle at instances without callers, so that
// a cold server of a large fleet gets a request every other second.
TEST(InstanceSharesTest, TakersHaveMostOfIt) {
  EXPECT_EQ(OwnPart(Shares(28, 2, true), here), 0.5);
  EXPECT_LT(OwnPart(Shares(28, 2, false), here), 0.02);
}

// Guards against shares that add up to more than a cold server bears, with the
// half as much again that the users allow.
TEST(InstanceSharesTest, PartsStayWithinTheBound) {
  for (const int instances : {1, 2, 5, 28, 75}) {
    for (int takers = 0; takers <= instances; ++takers) {
      const double sum =
          takers * OwnPart(Shares(instances, takers, true), here) +
          (instances - takers) *
              OwnPart(Shares(instances, takers, false), here);
      EXPECT_LE(sum, 1.5) << instances << " instances, " << takers << " takers";
    }
  }
}

// Guards against a share of nothing where no instance is near.
TEST(InstanceSharesTest, WithoutNearInstancesAllShare) {
  EXPECT_EQ(OwnPart(Shares(4, 2, true), DataCentreId("there")), 0.25);
}

}  // namespace
}  // namespace mangodoor
