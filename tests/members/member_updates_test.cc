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

/** Ids of the members that an instance's updates to `peer` name. */
std::vector<InstanceId> NamedTo(const InstanceId& peer,
                                const FleetActions& actions) {
  std::vector<InstanceId> named;
  for (const OutgoingMessage& message : actions.messages) {
    const auto* update = std::get_if<MemberUpdate>(&message.message);
    if (!update || message.to != peer)
      continue;
    for (const Member& member : update->members)
      named.push_back(member.id);
  }
  return named;
}

/** A leader with a link to the last by rank of five instances elsewhere. */
class MemberUpdatesTest : public testing::Test {
 protected:
  MemberUpdatesTest() {
    table_.member_list = MakeMemberList(self_);
    // A member with more processor time has a better rank.
    for (int i = 0; i < 5; ++i) {
      Member member = MakeMember("10.0.1." + std::to_string(i + 1), "west");
      member.millicores = 5000 - i * 1000;
      west_.push_back(member);
    }
    HandleMemberUpdate(table_, other_leader_, MemberUpdate{west_}, kNow);
    OpenLink(table_, west_.back().id, kNow);
  }

  std::vector<InstanceId> UpdatesToPeer() {
    return NamedTo(west_.back().id, TickFleet(table_, kNow));
  }

  /** Applies the peer's update that a member is gone. */
  void DeclareGoneByPeer(Member member) {
    member.state = MemberState::kGone;
    HandleMemberUpdate(table_, west_.back().id, MemberUpdate{{member}}, kNow);
  }

  FleetTable table_;
  const Member self_ = MakeMember("10.0.0.1", "east");
  const InstanceId other_leader_ = MakeMember("10.0.2.1", "south").id;
  /** Ordered by rank. */
  std::vector<Member> west_;
};

// Guards against a peer that is never sent a member whose state has not changed
// since the member became a hub: if the member has stopped, only the peer can
// notice it.
TEST_F(MemberUpdatesTest, PeerIsSentAMemberThatBecomesAHub) {
  EXPECT_EQ(UpdatesToPeer(),
            (std::vector{self_.id, west_[0].id, west_[1].id, west_[2].id}));
  DeclareGoneByPeer(west_[0]);
  EXPECT_EQ(UpdatesToPeer(), std::vector{west_[3].id});
}

// Guards against a member that stops after it has reached only other data
// centres: its own leader has to notice that, so it is told of the member. The
// leader's own updates are not sent back to it.
TEST_F(MemberUpdatesTest, LeaderIsSentTheMembersOfItsDataCentre) {
  const InstanceId& leader = west_.front().id;
  OpenLink(table_, leader, kNow);
  TickFleet(table_, kNow);
  Member restarted = west_[3];
  restarted.incarnation = 2;
  HandleMemberUpdate(table_, restarted.id, MemberUpdate{{restarted}}, kNow);
  EXPECT_EQ(NamedTo(leader, TickFleet(table_, kNow)),
            std::vector{restarted.id});
  ++restarted.incarnation;
  HandleMemberUpdate(table_, leader, MemberUpdate{{restarted}}, kNow);
  EXPECT_TRUE(NamedTo(leader, TickFleet(table_, kNow)).empty());
}

// Guards against hubs that are sent again with each change of another member,
// over the expensive paths between data centres.
TEST_F(MemberUpdatesTest, HubsAreSentOnce) {
  UpdatesToPeer();
  HandleMemberUpdate(table_, other_leader_,
                     MemberUpdate{{MakeMember("10.0.2.2", "south")}}, kNow);
  EXPECT_TRUE(UpdatesToPeer().empty());
}

}  // namespace
}  // namespace mangodoor
