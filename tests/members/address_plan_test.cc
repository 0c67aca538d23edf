#include "process/fleet/address_plan.h"

#include <gtest/gtest.h>

#include <cmath>
#include <set>

namespace mangodoor {
namespace {

Member MakeMember(const std::string& data_centre, int number) {
  Member member;
  member.data_centre = DataCentreId(data_centre);
  member.peer_endpoint = {"10.0." + data_centre + "." + std::to_string(number),
                          1};
  member.caller_endpoint = {member.peer_endpoint.address, 2};
  member.id = IdOfEndpoint(member.peer_endpoint);
  return member;
}

AddressInputs Inputs() {
  AddressInputs inputs;
  for (int i = 1; i <= 4; ++i) {
    inputs.live.push_back(MakeMember("1", i));
    inputs.live.push_back(MakeMember("2", i));
  }
  inputs.own_data_centre = DataCentreId("1");
  inputs.capacity = {{DataCentreId("1"), 9}, {DataCentreId("2"), 3}};
  inputs.requested_host = "shop.example";
  return inputs;
}

// Guards against a data centre that gets more callers than its backend servers
// can handle.
TEST(AddressPlanTest, CallersAreDistributedByCapacity) {
  AddressInputs inputs = Inputs();
  int first = 0;
  constexpr int kCallers = 2000;
  for (int i = 0; i < kCallers; ++i) {
    const std::string caller = "172.16.0." + std::to_string(i);
    inputs.caller = caller;
    const auto addresses = PlanAddresses(inputs);
    ASSERT_FALSE(addresses.empty());
    first += addresses.front().address.rfind("10.0.1.", 0) == 0 ? 1 : 0;
  }
  // Three quarters, within five standard deviations.
  EXPECT_NEAR(first, kCallers * 0.75, 5 * std::sqrt(kCallers * 0.75 * 0.25));
}

// Guards against callers that get different instances with each answer.
TEST(AddressPlanTest, AddressesStayTheSame) {
  AddressInputs inputs = Inputs();
  inputs.caller = "172.16.0.1";
  const auto first = PlanAddresses(inputs);
  EXPECT_EQ(PlanAddresses(inputs), first);
  // Remove an instance that the caller is not sent to.
  const auto unused = std::find_if(
      inputs.live.begin(), inputs.live.end(), [&](const Member& member) {
        return std::find(first.begin(), first.end(), member.caller_endpoint) ==
               first.end();
      });
  inputs.live.erase(unused);
  EXPECT_EQ(PlanAddresses(inputs), first);
}

// Guards against callers that are sent to a leaving instance.
TEST(AddressPlanTest, LeavingInstancesAreNotReturned) {
  AddressInputs inputs = Inputs();
  for (Member& member : inputs.live) {
    if (member.caller_endpoint.address != "10.0.2.3")
      member.state = MemberState::kLeaving;
  }
  for (const char* caller : {"a", "b", "c", "d"}) {
    inputs.caller = caller;
    const auto addresses = PlanAddresses(inputs);
    ASSERT_EQ(addresses.size(), 1U);
    EXPECT_EQ(addresses.front().address, "10.0.2.3");
  }
}

// Guards against an empty answer while instances run, even if nothing is known
// about backend servers or about the instance's own data centre.
TEST(AddressPlanTest, SomeInstanceIsAlwaysReturned) {
  AddressInputs inputs = Inputs();
  inputs.capacity.clear();
  inputs.caller = "x";
  for (const Endpoint& address : PlanAddresses(inputs))
    EXPECT_EQ(address.address.rfind("10.0.1.", 0), 0U);
  EXPECT_FALSE(PlanAddresses(inputs).empty());
  inputs.own_data_centre = DataCentreId("3");
  EXPECT_FALSE(PlanAddresses(inputs).empty());
}

}  // namespace
}  // namespace mangodoor
