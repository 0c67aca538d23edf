#include "process/servers/instance_shares.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

const DataCentreId here("here");

InstanceShares Shares(int instances,
                      int advertised_instances,
                      bool is_advertised) {
  InstanceShares shares;
  shares.instances = {{here, instances}};
  shares.advertised_instances = {{here, advertised_instances}};
  shares.is_advertised = is_advertised;
  return shares;
}

// Guards against a share that lies idle at instances without callers, so that
// a cold server of a large fleet gets a request every other second.
TEST(InstanceSharesTest, AdvertisedInstancesHaveMostOfTheShare) {
  EXPECT_EQ(OwnShare(Shares(28, 2, true), here), 0.5);
  EXPECT_LT(OwnShare(Shares(28, 2, false), here), 0.02);
}

// Guards against shares that add up to more than a cold server bears, with the
// half as much again that the users allow.
TEST(InstanceSharesTest, PartsStayWithinTheBound) {
  for (const int instances : {1, 2, 5, 28, 75}) {
    for (int advertised_instances = 0; advertised_instances <= instances;
         ++advertised_instances) {
      const double sum =
          advertised_instances *
              OwnShare(Shares(instances, advertised_instances, true), here) +
          (instances - advertised_instances) *
              OwnShare(Shares(instances, advertised_instances, false), here);
      EXPECT_LE(sum, 1.5) << instances << " instances, " << advertised_instances
                          << " takers";
    }
  }
}

// Guards against a share of nothing where no instance is near.
TEST(InstanceSharesTest, AllInstancesShareServersOfOtherDataCentre) {
  EXPECT_EQ(OwnShare(Shares(4, 2, true), DataCentreId("there")), 0.25);
}

}  // namespace
}  // namespace mangodoor
