#include "process/servers/instance_shares.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

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

// Guards against probes that stay unused at instances without callers.
TEST(InstanceSharesTest, AdvertisedInstancesHaveMostOfTheShare) {
  EXPECT_EQ(ProbeShare(Shares(28, 2, true), here, true), 0.5);
  EXPECT_LT(ProbeShare(Shares(28, 2, false), here, true), 0.02);
}

// Guards against shares that add up to more than 1.5 times the budget.
TEST(InstanceSharesTest, SharesStayWithinTheBound) {
  for (const int instances : {1, 2, 5, 28, 75}) {
    for (int advertised_instances = 0; advertised_instances <= instances;
         ++advertised_instances) {
      const double sum =
          advertised_instances *
              ProbeShare(Shares(instances, advertised_instances, true), here,
                         true) +
          (instances - advertised_instances) *
              ProbeShare(Shares(instances, advertised_instances, false), here,
                         true);
      EXPECT_LE(sum, 1.5) << instances << " instances, " << advertised_instances
                          << " advertised";
    }
  }
}

// Guards against instances of other data centres that each have as large a part
// of the probe budget of a server as those of its own.
TEST(InstanceSharesTest, ProbeSharesOfAllDataCentresStayWithinTheBound) {
  constexpr int kDataCentres = 5;
  constexpr int kInstances = 23;
  constexpr int kAdvertisedInstances = 6;
  InstanceShares shares;
  shares.instances[here] = kInstances;
  shares.advertised_instances[here] = kAdvertisedInstances;
  for (int i = 1; i < kDataCentres; ++i) {
    const DataCentreId other("other" + std::to_string(i));
    shares.instances[other] = kInstances;
    shares.advertised_instances[other] = kAdvertisedInstances;
  }
  double local = 0;
  double remote = 0;
  for (int i = 0; i < kInstances; ++i) {
    shares.is_advertised = i < kAdvertisedInstances;
    local += ProbeShare(shares, here, true);
    remote += ProbeShare(shares, here, false) * (kDataCentres - 1);
  }
  EXPECT_LE(local, 1.5);
  EXPECT_LE(remote, 0.75);
}

// Guards against an instance that may not probe a server at all, and so cannot
// place requests there.
TEST(InstanceSharesTest, EveryInstanceMayProbe) {
  for (const bool is_advertised : {true, false}) {
    InstanceShares shares = Shares(28, 2, is_advertised);
    EXPECT_GT(ProbeShare(shares, here, true), 0.01);
    EXPECT_GT(ProbeShare(shares, DataCentreId("empty"), false), 0.01);
    shares.instances[DataCentreId("there")] = 28;
    shares.advertised_instances[DataCentreId("there")] = 2;
    EXPECT_GT(ProbeShare(shares, DataCentreId("there"), false), 0.005);
  }
}

}  // namespace
}  // namespace mangodoor
