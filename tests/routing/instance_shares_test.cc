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

// Guards against shares that stay unused at instances without callers, so that
// a cold server of a large fleet gets only one request every two seconds.
TEST(InstanceSharesTest, AdvertisedInstancesHaveMostOfTheShare) {
  EXPECT_EQ(OwnShare(Shares(28, 2, true), here), 0.5);
  EXPECT_LT(OwnShare(Shares(28, 2, false), here), 0.02);
}

// Guards against shares that add up to more than 1.5 times the limit of a cold
// server, the most that users allow.
TEST(InstanceSharesTest, SharesStayWithinTheBound) {
  for (const int instances : {1, 2, 5, 28, 75}) {
    for (int advertised_instances = 0; advertised_instances <= instances;
         ++advertised_instances) {
      const double sum =
          advertised_instances *
              OwnShare(Shares(instances, advertised_instances, true), here) +
          (instances - advertised_instances) *
              OwnShare(Shares(instances, advertised_instances, false), here);
      EXPECT_LE(sum, 1.5) << instances << " instances, " << advertised_instances
                          << " advertised";
    }
  }
}

// Guards against a share of zero for servers whose data centre has no
// instance.
TEST(InstanceSharesTest, AllShareServersOfDataCentreWithoutInstance) {
  EXPECT_EQ(OwnShare(Shares(4, 2, true), DataCentreId("there")), 0.25);
}

}  // namespace
}  // namespace mangodoor
