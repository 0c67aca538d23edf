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
  FleetViewTest() { table_.book = StartBook(MakeMember("10.0.0.1", "east")); }

  void Learn(const Member& member) {
    HandleMemberNews(table_, member.id, MemberNews{{member}}, kNow);
  }

  FleetTable table_;
  const Member near_ = MakeMember("10.0.0.2", "east");
  const Member far_ = MakeMember("10.0.1.1", "west");
};

// Guards against a copy of the whole fleet for every beat and every question
// of a caller.
TEST_F(FleetViewTest, SameViewUntilSomethingChanges) {
  Learn(near_);
  const FleetViewPtr view = ViewFleet(table_);
  HearFrom(table_, near_.id, kNow);
  Learn(near_);
  EXPECT_EQ(ViewFleet(table_), view);
}

// Guards against decisions on members and links of an earlier moment.
TEST_F(FleetViewTest, EveryChangeIsSeen) {
  EXPECT_EQ(ViewFleet(table_)->live.size(), 1U);
  Learn(near_);
  Learn(far_);
  EXPECT_EQ(ViewFleet(table_)->live.size(), 3U);
  EXPECT_TRUE(ViewFleet(table_)->neighbours.empty());
  OpenLink(table_, near_.id, kNow);
  OpenLink(table_, far_.id, kNow);
  EXPECT_EQ(ViewFleet(table_)->neighbours.count(near_.id), 1U);
  EXPECT_EQ(ViewFleet(table_)->far, std::vector<InstanceId>{far_.id});
  CloseLink(table_, near_.id);
  EXPECT_TRUE(ViewFleet(table_)->neighbours.empty());
  Member gone = far_;
  gone.state = MemberState::kGone;
  Learn(gone);
  EXPECT_EQ(ViewFleet(table_)->live.size(), 2U);
  BeginLeaving(table_, kNow);
  EXPECT_EQ(ViewFleet(table_)->self.state, MemberState::kLeaving);
}

}  // namespace
}  // namespace mangodoor
