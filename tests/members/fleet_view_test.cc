#include <gtest/gtest.h>

#include "process/fleet/fleet_table.h"

namespace mangodoor {
namespace {

constexpr TimePoint kNow(std::chrono::seconds(10));

Member MakeMember(const std::string& address, const std::string& data_centre) {
  Member member;
  member.peer_endpoint = {address, 7101};
  member.id = IdOfEndpoint(member.peer_endpoint);
  member.data_centre = DataCentreId(data_centre);
  member.incarnation = 1;
  return member;
}

class FleetViewTest : public testing::Test {
 protected:
  FleetViewTest() {
    table_.member_list = MakeMemberList(MakeMember("10.0.0.1", "east"));
  }

  void ApplyUpdate(const Member& member) {
    HandleMemberUpdate(table_, member.id, MemberUpdate{{member}}, kNow);
  }

  FleetTable table_;
  const Member local_ = MakeMember("10.0.0.2", "east");
  const Member remote_ = MakeMember("10.0.1.1", "west");
};

// Guards against a copy of the whole member list for every heartbeat and every
// address query of a caller.
TEST_F(FleetViewTest, SameViewUntilSomethingChanges) {
  ApplyUpdate(local_);
  const FleetViewPtr view = ViewFleet(table_);
  RecordMessageFrom(table_, local_.id, kNow);
  ApplyUpdate(local_);
  EXPECT_EQ(ViewFleet(table_), view);
}

// Guards against decisions based on an out-of-date view.
TEST_F(FleetViewTest, EveryChangeUpdatesTheView) {
  EXPECT_EQ(ViewFleet(table_)->live.size(), 1U);
  ApplyUpdate(local_);
  ApplyUpdate(remote_);
  EXPECT_EQ(ViewFleet(table_)->live.size(), 3U);
  EXPECT_TRUE(ViewFleet(table_)->local_peers.empty());
  OpenLink(table_, local_.id, kNow);
  OpenLink(table_, remote_.id, kNow);
  EXPECT_EQ(ViewFleet(table_)->local_peers.count(local_.id), 1U);
  EXPECT_EQ(ViewFleet(table_)->remote_peers,
            std::vector<InstanceId>{remote_.id});
  CloseLink(table_, local_.id);
  EXPECT_TRUE(ViewFleet(table_)->local_peers.empty());
  Member gone = remote_;
  gone.state = MemberState::kGone;
  ApplyUpdate(gone);
  EXPECT_EQ(ViewFleet(table_)->live.size(), 2U);
  BeginLeaving(table_, kNow);
  EXPECT_EQ(ViewFleet(table_)->self.state, MemberState::kLeaving);
}

// Guards against a small hub that has to send changes to a third of its data
// centre, which takes it many times as long as the large ones.
TEST_F(FleetViewTest, SmallHubsDoNotPush) {
  const int own_millicores = table_.member_list.self.millicores;
  Member large = local_;
  large.millicores = 2 * own_millicores;
  ApplyUpdate(large);
  Member small = MakeMember("10.0.0.3", "east");
  small.millicores = own_millicores - 1;
  ApplyUpdate(small);
  EXPECT_EQ(ViewFleet(table_)->pushing_hubs, 2U);
  small.millicores = own_millicores;
  ++small.incarnation;
  ApplyUpdate(small);
  EXPECT_EQ(ViewFleet(table_)->pushing_hubs, 3U);
}

// Guards against a lone instance that divides its pushes by none.
TEST_F(FleetViewTest, LeaderPushesAlone) {
  EXPECT_EQ(ViewFleet(table_)->pushing_hubs, 1U);
}

}  // namespace
}  // namespace mangodoor
