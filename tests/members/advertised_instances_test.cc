#include "process/fleet/advertised_instances.h"

#include <gtest/gtest.h>

#include "process/fleet/member_list.h"

namespace mangodoor {
namespace {

const DataCentreId local_data_centre("1");

Member MakeMember(int number, int millicores) {
  Member member;
  member.data_centre = local_data_centre;
  member.peer_endpoint = {"10.0.1." + std::to_string(number), 1};
  member.caller_endpoint = {member.peer_endpoint.address, 2};
  member.id = IdOfEndpoint(member.peer_endpoint);
  member.millicores = millicores;
  return member;
}

std::vector<Member> TwoStrongManyWeak() {
  std::vector<Member> live;
  for (int i = 1; i <= 20; ++i)
    live.push_back(MakeMember(i, i % 10 == 0 ? 500 : 100));
  return live;
}

// Guards against callers that are all sent to an instance with a tenth of a
// core while instances with more processor time are idle.
TEST(AdvertisedInstancesTest, StrongestInstancesAreSelectedFirst) {
  const auto live = TwoStrongManyWeak();
  const auto advertised_instances =
      SelectAdvertisedInstances(live, local_data_centre, 200);
  ASSERT_EQ(advertised_instances.size(), 2U);
  for (const Member* advertised_instance : advertised_instances)
    EXPECT_EQ(advertised_instance->millicores, 500);
}

// Guards against a few instances that get more requests than they can handle.
TEST(AdvertisedInstancesTest, NumberGrowsWithRequestRate) {
  const auto live = TwoStrongManyWeak();
  size_t before = 0;
  for (const double requests_per_s : {0.0, 100.0, 500.0, 800.0}) {
    const auto advertised_instances =
        SelectAdvertisedInstances(live, local_data_centre, requests_per_s);
    double millicores = 0;
    for (const Member* advertised_instance : advertised_instances)
      millicores += advertised_instance->millicores;
    // A request takes a millicore-second; a third of the capacity may be used.
    EXPECT_GE(millicores, 3 * requests_per_s);
    EXPECT_GE(advertised_instances.size(), std::max<size_t>(2, before));
    before = advertised_instances.size();
  }
  EXPECT_EQ(SelectAdvertisedInstances(live, local_data_centre, 1e6).size(),
            live.size());
}

// Guards against an empty answer when only one instance is serving.
TEST(AdvertisedInstancesTest, SingleServingInstanceIsSelected) {
  auto live = TwoStrongManyWeak();
  for (Member& member : live)
    member.state = MemberState::kLeaving;
  live[4].state = MemberState::kServing;
  const auto advertised_instances =
      SelectAdvertisedInstances(live, local_data_centre, 1000);
  ASSERT_EQ(advertised_instances.size(), 1U);
  EXPECT_EQ(advertised_instances[0]->id, live[4].id);
}

// Guards against a fleet that starts with only two instances advertised because
// no requests have been counted yet.
TEST(AdvertisedInstancesTest, SlotsGiveInitialRequestRate) {
  const auto live = TwoStrongManyWeak();
  EXPECT_GT(RequestRatePerDataCentre(live, 0, 900), 100);
  EXPECT_EQ(RequestRatePerDataCentre(live, 2000, 900), 2000);
}

// Guards against hubs that lack processor time: an instance with a tenth of a
// core was silent for seconds as the leader of 27.
TEST(MemberRankTest, StrongestInstancesAreHubs) {
  MemberList member_list = MakeMemberList(MakeMember(1, 100));
  for (const Member& member : TwoStrongManyWeak())
    ApplyUpdate(member_list, member.id, member,
                TimePoint(std::chrono::hours(1)));
  const auto ranked = RankedMembers(member_list, local_data_centre);
  EXPECT_EQ(ranked[0]->millicores, 500);
  EXPECT_EQ(ranked[1]->millicores, 500);
  EXPECT_EQ(ranked[2]->millicores, 100);
}

}  // namespace
}  // namespace mangodoor
