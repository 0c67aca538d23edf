#include "process/membership/freshness.h"

#include <gtest/gtest.h>

#include "process/fake_clock.h"
#include "process/membership/fleet_reachability.h"
#include "process/membership/join.h"
#include "process/membership/peer_view.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

Heartbeat EchoOf(TimePoint echoed, TimePoint sent) {
  Heartbeat heartbeat;
  heartbeat.timing.echoed = echoed;
  heartbeat.timing.sent = sent;
  return heartbeat;
}

// Guards against a message that looks new although a partition delayed it.
TEST(PeerViewTest, LateHeartbeatDoesNotCountAsHeardNow) {
  FakeClock clock;
  const TimePoint start = clock.Now();
  PeerView view;
  Heartbeat heartbeat = EchoOf(start, TimePoint(seconds(1)));
  heartbeat.timing.held = milliseconds(10);
  heartbeat.read_age = milliseconds(100);
  clock.Advance(seconds(10));
  ASSERT_TRUE(RecordHeartbeat(view, heartbeat, clock.Now(), start));
  EXPECT_EQ(view.last_heard, start + milliseconds(10));
  EXPECT_EQ(view.read_at, start - milliseconds(140));
  EXPECT_FALSE(IsReachable(view, clock.Now()));
}

// Guards against an echo that was meant for a previous process, or that a
// faulty peer invented.
TEST(PeerViewTest, ImpossibleEchoIsIgnored) {
  FakeClock clock;
  const TimePoint start = clock.Now();
  clock.Advance(seconds(1));
  const TimePoint now = clock.Now();
  Heartbeat early = EchoOf(start - seconds(1), TimePoint(seconds(1)));
  Heartbeat future = EchoOf(now + seconds(1), TimePoint(seconds(2)));
  Heartbeat held_too_long = EchoOf(start, TimePoint(seconds(3)));
  held_too_long.timing.held = seconds(2);
  PeerView view;
  for (const Heartbeat& heartbeat : {early, future, held_too_long}) {
    EXPECT_TRUE(RecordHeartbeat(view, heartbeat, now, start));
    EXPECT_FALSE(view.last_heard);
  }
}

// Guards against a late or duplicate heartbeat that overwrites a newer one.
TEST(PeerViewTest, OvertakenHeartbeatIsIgnored) {
  PeerView view;
  Heartbeat newer;
  newer.timing.sent = TimePoint(seconds(5));
  newer.version = 8;
  Heartbeat older;
  older.timing.sent = TimePoint(seconds(4));
  older.version = 7;
  EXPECT_TRUE(RecordHeartbeat(view, newer, {}, {}));
  EXPECT_FALSE(RecordHeartbeat(view, older, {}, {}));
  EXPECT_FALSE(RecordHeartbeat(view, newer, {}, {}));
  EXPECT_EQ(view.version, 8u);
}

// Guards against serving keyed requests with a configuration that can be out of
// date.
TEST(FreshnessTest, FencedThreeSecondsAfterReadAndHalfHeard) {
  FakeClock clock;
  Freshness freshness;
  CheckForPause(freshness, clock.Now());
  EXPECT_FALSE(IsFresh(freshness, kFreshFor, clock.Now()));
  freshness.relayed_read = clock.Now();
  freshness.half_fleet_heard_at = clock.Now() + seconds(1);
  for (int i = 0; i < 10; ++i) {
    clock.Advance(milliseconds(400));
    CheckForPause(freshness, clock.Now());
    EXPECT_TRUE(IsFresh(freshness, kFreshFor, clock.Now()));
  }
  clock.Advance(milliseconds(1));
  EXPECT_FALSE(IsFresh(freshness, kFreshFor, clock.Now()));
}

// Guards against serving a request that arrives between a pause and the next
// tick.
TEST(FreshnessTest, PauseFencesAtOnceAndUntilConfirmed) {
  FakeClock clock;
  Freshness freshness;
  CheckForPause(freshness, clock.Now());
  freshness.own_read = clock.Now();
  clock.Advance(milliseconds(501));
  EXPECT_FALSE(IsFresh(freshness, kFreshFor, clock.Now()));
  EXPECT_TRUE(CheckForPause(freshness, clock.Now()));
  EXPECT_FALSE(IsFresh(freshness, kFreshFor, clock.Now()));
  freshness.own_read = clock.Now();
  EXPECT_TRUE(IsFresh(freshness, kFreshFor, clock.Now()));
}

class FleetReachabilityTest : public testing::Test {
 protected:
  FleetReachabilityTest() {
    for (const char* id : {"a", "b", "c", "d"})
      list_.instances.push_back({InstanceId(id), {}, {}, {}, false});
    self_ = list_.instances.front();
  }

  void SetLastHeard(const char* id, Duration ago) {
    peers_[InstanceId(id)].last_heard = clock_.Now() - ago;
  }

  FleetReachability Summarise() const {
    return SummariseReachability(
        self_, list_, {list_.instances.begin() + 1, list_.instances.end()},
        peers_, clock_.Now());
  }

  FakeClock clock_;
  InstanceList list_;
  Instance self_;
  PeerViews peers_;
};

// Guards against an isolated instance that by itself counts as half the fleet.
TEST_F(FleetReachabilityTest, HalfIncludesThisInstance) {
  EXPECT_FALSE(Summarise().half_fleet_heard_at);
  SetLastHeard("b", milliseconds(300));
  EXPECT_EQ(Summarise().half_fleet_heard_at, clock_.Now() - milliseconds(300));
  SetLastHeard("c", milliseconds(100));
  EXPECT_EQ(Summarise().half_fleet_heard_at, clock_.Now() - milliseconds(100));
  SetLastHeard("b", seconds(5));
  SetLastHeard("c", seconds(4));
  EXPECT_EQ(Summarise().half_fleet_heard_at, clock_.Now() - seconds(4));
  EXPECT_FALSE(Summarise().half_fleet_reachable);
}

// Guards against an instance without a list that regards itself as the fleet.
TEST_F(FleetReachabilityTest, WithoutAListThereIsNoHalf) {
  const FleetReachability reachability =
      SummariseReachability(self_, {}, {}, {}, clock_.Now());
  EXPECT_FALSE(reachability.half_fleet_heard_at);
  EXPECT_FALSE(reachability.alone);
}

// Guards against a new instance that enters service with an old document.
TEST(JoinTest, DocumentOfTheServiceAloneIsNotEnough) {
  JoinInputs inputs;
  inputs.has_version = true;
  inputs.version = 5;
  EXPECT_FALSE(MayEnterService(inputs));
  inputs.reachability.serving_peer = true;
  inputs.highest_peer_version = 7;
  EXPECT_FALSE(MayEnterService(inputs));
  inputs.version = 7;
  EXPECT_TRUE(MayEnterService(inputs));
}

// Guards against a fleet, or a lone instance, that never enters service.
TEST(JoinTest, WholeFleetAndLoneInstanceMayStart) {
  JoinInputs inputs;
  inputs.has_version = true;
  inputs.reachability.half_fleet_reachable = true;
  EXPECT_TRUE(MayEnterService(inputs));
  inputs.reachability = {};
  inputs.reachability.alone = true;
  EXPECT_TRUE(MayEnterService(inputs));
  inputs.has_version = false;
  EXPECT_FALSE(MayEnterService(inputs));
}

}  // namespace
}  // namespace mangodoor
