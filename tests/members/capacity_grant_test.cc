#include "process/fleet/capacity_grant.h"

#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

#include "process/fleet/capacity_shares.h"
#include "process/servers/cold_window.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const DataCentreId east("east");

Member MakeMember(int number, const DataCentreId& data_centre) {
  Member member;
  member.peer_endpoint = {"10.0.0." + std::to_string(number), 7101};
  member.id = IdOfEndpoint(member.peer_endpoint);
  member.data_centre = data_centre;
  member.incarnation = 1;
  return member;
}

/** One instance that starts with a seed elsewhere. */
class CapacityGrantTest : public testing::Test {
 protected:
  CapacityGrantTest() {
    table_.member_list = MakeMemberList(MakeMember(1, east));
    table_.seeds = {MakeMember(100, east).peer_endpoint};
  }

  void Learn(Member member, MemberState state = MemberState::kServing) {
    member.state = state;
    HandleMemberUpdate(table_, member.id, MemberUpdate{{member}}, now_);
  }

  /** Ticks until `duration` has passed, with messages from all members. */
  void RunFor(Duration duration) {
    for (const TimePoint end = now_ + duration; now_ < end;) {
      now_ += kFleetTick;
      for (const Member& member : ViewFleet(table_)->live)
        RecordMessageFrom(table_, member.id, now_);
      TickFleet(table_, now_);
      RenewGrant(table_, {}, now_);
    }
  }

  /** This instance's share of a cold server; 0 without a grant. */
  double OwnShare() const {
    const auto grant = CurrentGrant(table_, now_);
    return grant ? ShareOf(grant->grant, table_.member_list.self.id) : 0;
  }

  /** An unknown member of a higher or lower rank than this instance. */
  Member MemberRanked(bool higher) const {
    MemberList list = table_.member_list;
    for (int number = 2;; ++number) {
      Member candidate = MakeMember(number, east);
      if (list.members.count(candidate.id) > 0)
        continue;
      MemberList with_candidate = list;
      ApplyUpdate(with_candidate, candidate.id, candidate, now_);
      if ((OwnRank(with_candidate) > 0) == higher)
        return candidate;
    }
  }

  FleetTable table_;
  TimePoint now_{seconds(100)};
};

// Guards against an instance that takes the whole limit since it has just
// started, or was restarted while cut off, and knows no other.
TEST_F(CapacityGrantTest, InstanceThatKnowsNoOtherHasNoShare) {
  RunFor(seconds(60));
  EXPECT_EQ(OwnShare(), 0);
}

// Guards against a cold server that gets nothing from a fleet of one instance.
TEST_F(CapacityGrantTest, OnlyInstanceOfAFleetHasTheWholeShare) {
  table_.seeds = {table_.member_list.self.peer_endpoint};
  RunFor(seconds(12));
  EXPECT_EQ(OwnShare(), 1);
}

// Guards against two leaders whose instances use the limit at the same time.
TEST_F(CapacityGrantTest, NewLeaderWaitsUntilEarlierGrantsHaveExpired) {
  Learn(MemberRanked(false));
  RunFor(kGrantValid - kFleetTick);
  EXPECT_EQ(OwnShare(), 0);
  RunFor(3 * kFleetTick);
  EXPECT_GT(OwnShare(), 0);
}

// Guards against groups of just started instances that have not found each
// other and each use the whole limit.
TEST_F(CapacityGrantTest, SmallGroupUsesAPartAfterItsStart) {
  for (int i = 0; i < 3; ++i)
    Learn(MemberRanked(false));
  RunFor(seconds(5));
  ASSERT_TRUE(CurrentGrant(table_, now_));
  EXPECT_EQ(CurrentGrant(table_, now_)->grant.part, 0.25);
  RunFor(seconds(6));
  EXPECT_EQ(CurrentGrant(table_, now_)->grant.part, 1);
}

// Guards against an instance that goes on with its own grant while another one
// leads, which makes grants as well.
TEST_F(CapacityGrantTest, OwnGrantEndsWithTheLeadership) {
  Learn(MemberRanked(false));
  RunFor(kGrantValid + 2 * kFleetTick);
  ASSERT_GT(OwnShare(), 0);
  Learn(MemberRanked(true));
  RunFor(kFleetTick);
  EXPECT_EQ(OwnShare(), 0);
}

// Guards against a share for an instance that does not follow the leader that
// granted it, and against one that outlives the leader.
TEST_F(CapacityGrantTest, OnlyGrantsOfTheLeaderCountAndTheyExpire) {
  const Member leader = MemberRanked(true);
  const Member other = MemberRanked(false);
  Learn(leader);
  Learn(other);
  FleetHeartbeat heartbeat;
  heartbeat.capacity_grant = CapacityGrant{1, 3, {}, 1, {}};
  RecordGrant(table_, other.id, heartbeat, now_);
  EXPECT_EQ(OwnShare(), 0);
  RecordGrant(table_, leader.id, heartbeat, now_);
  EXPECT_GT(OwnShare(), 0);
  now_ += kGrantValid;
  EXPECT_EQ(OwnShare(), 0);
}

// Guards against an instance that is cut off from the others, takes them for
// gone, and takes the whole limit although they still run.
TEST_F(CapacityGrantTest, CutOffInstanceKeepsItsPart) {
  for (int number = 2; number <= 24; ++number)
    Learn(MakeMember(number, east));
  for (int number = 2; number <= 24; ++number)
    Learn(MakeMember(number, east), MemberState::kGone);
  RunFor(seconds(30));
  EXPECT_DOUBLE_EQ(OwnShare(), 1.0 / 24);
}

// Guards against a limit that stays unused after a few instances have failed.
TEST_F(CapacityGrantTest, MajorityUsesTheWholeLimit) {
  for (int number = 2; number <= 5; ++number)
    Learn(MakeMember(number, east));
  Learn(MakeMember(4, east), MemberState::kGone);
  Learn(MakeMember(5, east), MemberState::kGone);
  for (int number = 2; number <= 3; ++number) {
    Member leaving = MakeMember(number, east);
    Learn(leaving, MemberState::kLeaving);
  }
  RunFor(seconds(12));
  EXPECT_EQ(CurrentGrant(table_, now_)->grant.part, 1);
}

// Guards against cold servers that nobody uses because their data centre has no
// instance, and against data centres that each use their whole limit.
TEST_F(CapacityGrantTest, AllDataCentresShareServersOfOneWithoutInstances) {
  const HeldGrant held{{1, 4, {}, 5, {DataCentreId("west")}},
                       table_.member_list.self.id,
                       now_ + kGrantValid};
  const ColdShares shares =
      ComputeInstanceShares(*ViewFleet(table_), held, 0).cold;
  EXPECT_EQ(shares.own_data_centre, 0.25);
  EXPECT_EQ(shares.elsewhere, 0.025);
  EXPECT_EQ(shares.unattended.count(DataCentreId("west")), 1U);
  EXPECT_EQ(shares.granted, 1);
}

// Guards against leaders of data centres that do not reach each other, take
// each other's data centres for ones without instances, and grant the same
// servers.
TEST_F(CapacityGrantTest, MinorityOfDataCentresGrantsNothingElsewhere) {
  table_.seeds.clear();
  RunFor(seconds(12));
  const std::set<DataCentreId> all{east, DataCentreId("north"),
                                   DataCentreId("west")};
  RenewGrant(table_, {0, all}, now_);
  ASSERT_TRUE(CurrentGrant(table_, now_));
  EXPECT_TRUE(CurrentGrant(table_, now_)->grant.unattended.empty());
  EXPECT_EQ(CurrentGrant(table_, now_)->grant.part, 0.5);
}

// Guards against a small data centre that uses a part of its limits only
// because its leader was restarted.
TEST_F(CapacityGrantTest, SettledPeerShowsThatTheOthersAreFound) {
  const Member peer = MemberRanked(false);
  Learn(peer);
  FleetHeartbeat heartbeat;
  heartbeat.settled = true;
  RecordGrant(table_, peer.id, heartbeat, now_);
  RunFor(kGrantValid + 2 * kFleetTick);
  ASSERT_TRUE(CurrentGrant(table_, now_));
  EXPECT_EQ(CurrentGrant(table_, now_)->grant.part, 1);
}

// Guards against cold servers that get nothing while their leader stalls now
// and then: each stall made it wait like a new leader.
TEST_F(CapacityGrantTest, ShortStallOfTheLeaderKeepsItsGrant) {
  Learn(MemberRanked(false));
  RunFor(seconds(12));
  for (int i = 0; i < 5; ++i) {
    now_ += milliseconds(900);
    RunFor(kFleetTick);
    EXPECT_GT(OwnShare(), 0) << i;
  }
}

// Guards against the only instance that is left of a fleet, which gets no share
// once it has forgotten the others.
TEST_F(CapacityGrantTest, OnlySurvivorHasAShare) {
  const Member other = MemberRanked(false);
  Learn(other);
  Learn(other, MemberState::kGone);
  RunFor(seconds(200));
  EXPECT_EQ(OwnShare(), 1);
}

// Guards against a grant that leaves out a data centre without instances.
TEST_F(CapacityGrantTest, GrantNamesDataCentresWithoutInstances) {
  Learn(MakeMember(50, DataCentreId("north")));
  RunFor(kGrantValid);
  now_ += kFleetTick;
  const DataCentreId west("west");
  RenewGrant(table_, {0, {east, west, DataCentreId("north")}}, now_);
  ASSERT_TRUE(CurrentGrant(table_, now_));
  EXPECT_EQ(CurrentGrant(table_, now_)->grant.unattended,
            std::vector<DataCentreId>{west});
  EXPECT_EQ(CurrentGrant(table_, now_)->grant.data_centres, 3);
}

// Guards against shares that stay unused at instances without callers, so that
// a cold server of a large fleet gets only one request every two seconds.
TEST(CapacityGrantShareTest, AdvertisedInstancesHaveMostOfTheShare) {
  const CapacityGrant grant{1, 28, {InstanceId("a"), InstanceId("b")}, 1, {}};
  EXPECT_EQ(ShareOf(grant, InstanceId("a")), 0.5);
  EXPECT_LT(ShareOf(grant, InstanceId("c")), 0.02);
}

// Guards against shares that add up to more than 1.5 times the limit of a cold
// server, the most that users allow.
TEST(CapacityGrantShareTest, SharesStayWithinTheBound) {
  for (const int instances : {1, 2, 5, 28, 75}) {
    for (int advertised = 0; advertised <= instances; ++advertised) {
      CapacityGrant grant{1, instances, {}, 1, {}};
      for (int i = 0; i < advertised; ++i)
        grant.advertised.push_back(InstanceId(std::to_string(i)));
      double sum = 0;
      for (int i = 0; i < instances; ++i)
        sum += ShareOf(grant, InstanceId(std::to_string(i)));
      EXPECT_LE(sum, 1.5) << instances << " instances, " << advertised
                          << " advertised";
    }
  }
}

// Guards against a cold server that gets the first request of every instance in
// the same second (hunt of lscx-gate-grown, seed 637695590114: 13
// requests, 12.8 are allowed).
TEST(CapacityGrantShareTest, FirstRequestsToAColdServerAreSpread) {
  using std::chrono::milliseconds;
  constexpr int kInstances = 23;
  constexpr double kColdPerS = 3.2;
  constexpr double kAllowedInOneSecond = kColdPerS * 1.5 + 8;
  const TimePoint start{std::chrono::hours(1)};
  HeldGrant held;
  held.grant = {1, kInstances, {}, 1, {}};
  std::vector<FleetView> views(kInstances);
  for (int i = 0; i < kInstances; ++i) {
    views[static_cast<size_t>(i)].self = MakeMember(i + 1, east);
    if (i < 6)
      held.grant.advertised.push_back(views[static_cast<size_t>(i)].self.id);
  }
  held.leader = views[0].self.id;
  std::vector<ColdWindow> windows(kInstances);
  for (ColdWindow& window : windows)
    SetColdByProbe(window, std::chrono::seconds(20), start, start);
  std::deque<TimePoint> sent;
  int all = 0;
  for (milliseconds t{0}; t < std::chrono::seconds(20); t += milliseconds(10)) {
    const TimePoint now = start + t;
    for (int i = 0; i < kInstances; ++i) {
      const ColdShares shares =
          ComputeInstanceShares(views.at(static_cast<size_t>(i)), held, 0).cold;
      ColdWindow& window = windows.at(static_cast<size_t>(i));
      if (!MaySendCold(window,
                       {kColdPerS * shares.own_data_centre, shares.phase}, now))
        continue;
      RecordSent(window, now);
      sent.push_back(now);
      ++all;
    }
    while (!sent.empty() && now - sent.front() >= std::chrono::seconds(1))
      sent.pop_front();
    ASSERT_LE(sent.size(), kAllowedInOneSecond) << t.count();
  }
  // The server is used nonetheless.
  EXPECT_GT(all, 20 * kColdPerS);
}

}  // namespace
}  // namespace mangodoor
