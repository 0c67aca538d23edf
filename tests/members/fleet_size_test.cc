#include "process/fleet/fleet_size.h"

#include <gtest/gtest.h>

#include "process/fleet/fleet_table.h"
#include "process/fleet/instance_count.h"

namespace mangodoor {
namespace {

using std::chrono::hours;
using std::chrono::seconds;

constexpr TimePoint kNow{hours(1)};

Member MakeMember(int number, MemberState state) {
  Member member;
  member.peer_endpoint = {"10.0.0." + std::to_string(number), 7101};
  member.id = IdOfEndpoint(member.peer_endpoint);
  member.data_centre = DataCentreId("west");
  member.millicores = 100;
  member.incarnation = 1;
  member.state = state;
  return member;
}

class FleetSizeTest : public testing::Test {
 protected:
  FleetSizeTest() {
    table_.member_list = MakeMemberList(MakeMember(1, MemberState::kServing));
    table_.seeds = {MakeMember(2, MemberState::kServing).peer_endpoint};
  }

  /** Applies a peer's update of the members from `first` to `last`. */
  void Update(int first, int last, MemberState state) {
    MemberUpdate update;
    for (int i = first; i <= last; ++i)
      update.members.push_back(MakeMember(i, state));
    HandleMemberUpdate(table_, MakeMember(2, state).id, update, now_);
  }

  int SizeAfter(Duration duration) {
    now_ += duration;
    TickFleet(table_, now_);
    return InstancesSharingLimits(table_);
  }

  FleetTable table_;
  TimePoint now_ = kNow;
};

// Guards against review case 6: both sides of a cut of more than 30 s used the
// whole rate of an account.
TEST_F(FleetSizeTest, InstancesOutOfSightCountForHours) {
  Update(2, 10, MemberState::kServing);
  EXPECT_EQ(SizeAfter(seconds(1)), 10);
  Update(6, 10, MemberState::kGone);
  EXPECT_EQ(SizeAfter(seconds(40)), 10);
  EXPECT_EQ(SizeAfter(hours(3)), 10);
  EXPECT_LT(SizeAfter(hours(2)), 10);
}

// Guards against limits that stay partly unused after instances were stopped as
// planned, or were replaced by others.
TEST_F(FleetSizeTest, PlannedStopsAndReplacementsLoseNothing) {
  Update(2, 10, MemberState::kServing);
  EXPECT_EQ(SizeAfter(seconds(1)), 10);
  Update(9, 10, MemberState::kLeaving);
  EXPECT_EQ(SizeAfter(seconds(1)), 10);
  Update(9, 10, MemberState::kGone);
  EXPECT_EQ(SizeAfter(seconds(1)), 8);
  Update(8, 8, MemberState::kGone);
  EXPECT_EQ(SizeAfter(seconds(1)), 8);
  Update(11, 11, MemberState::kServing);
  EXPECT_EQ(SizeAfter(seconds(1)), 8);
  Update(12, 12, MemberState::kServing);
  EXPECT_EQ(SizeAfter(seconds(1)), 9);
}

// Guards against instances that each use a whole limit since the only machines
// that their seeds name are down.
TEST_F(FleetSizeTest, InstanceThatFoundNoOtherAssumesThem) {
  EXPECT_EQ(SizeAfter(seconds(1)), kAssumedInstances);
  EXPECT_EQ(SizeAfter(hours(1)), kAssumedInstances);
  Update(2, 3, MemberState::kServing);
  EXPECT_EQ(SizeAfter(seconds(1)), 3);
}

// Guards against an only instance that uses a part of the limits for ever.
TEST_F(FleetSizeTest, InstanceWithoutSeedsIsAlone) {
  table_.seeds = {table_.member_list.self.peer_endpoint};
  EXPECT_EQ(SizeAfter(seconds(1)), 1);
}

}  // namespace
}  // namespace mangodoor
