#include "fleet/harness/loopback_network.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

// Guards against two fleets on the same addresses, where the requests of one
// would reach the servers of the other.
TEST(LoopbackNetworkFleetTest, TwoNetworksAreNeverTheSame) {
  const LoopbackNetwork one;
  const LoopbackNetwork other;
  EXPECT_NE(one.Host(1, 0), other.Host(1, 0));
}

// Guards against running out of networks because a destroyed LoopbackNetwork
// stays reserved.
TEST(LoopbackNetworkFleetTest, NetworkIsFreeAfterwards) {
  std::string first;
  {
    const LoopbackNetwork network;
    first = network.Host(1, 0);
  }
  EXPECT_EQ(LoopbackNetwork().Host(1, 0), first);
}

}  // namespace
}  // namespace mangodoor
