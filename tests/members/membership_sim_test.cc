#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "members/fleet_sim.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' rule: a directory must not name an instance this long after its
// end.
constexpr Duration kMayNameGone = seconds(6);

void StartAll(FleetSim& sim) {
  for (int i = 0; i < sim.size(); ++i)
    sim.Start(i);
}

void ExpectAllAgree(const FleetSim& sim) {
  for (int i = 0; i < sim.size(); ++i) {
    if (sim.runs(i)) {
      EXPECT_EQ(sim.LiveAt(i), sim.Running()) << "at " << sim.IdOf(i);
    }
  }
}

// Guards against a fleet that does not find itself before callers come.
TEST(MembershipSimTest, FleetFindsItselfThroughSeeds) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.RunFor(seconds(2));
  ExpectAllAgree(sim);
}

// Guards against news of members that grow with the square of the fleet while
// all of it starts: instances that only look for their own data centre were
// told all others too, over the dear way between data centres.
TEST(MembershipSimTest, StartOfALargeFleetTellsEachMemberAFewTimes) {
  constexpr int kDataCentres = 4;
  constexpr int kEach = 75;
  constexpr size_t kAll = kDataCentres * kEach;
  FleetSim sim(kDataCentres, kEach, 3);
  StartAll(sim);
  sim.RunFor(seconds(3));
  ExpectAllAgree(sim);
  // A hub tells each instance of its data centre of all others.
  for (int i = 0; i < sim.size(); ++i)
    EXPECT_LE(sim.SentBy(i), 2 * kAll * kEach) << i;
  // Each data centre hears of the others a few times, and each instance of a
  // few by way of the seeds.
  EXPECT_LE(sim.sent_remote(), 8 * kAll * kDataCentres);
}

// Guards against a lost seed that keeps instances apart.
TEST(MembershipSimTest, OneLivingSeedIsEnough) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.Kill(0);
  sim.Kill(4);
  sim.RunFor(seconds(8));
  ExpectAllAgree(sim);
}

// Guards against directories that name instances long after their end.
TEST(MembershipSimTest, KilledInstancesAreDroppedEverywhere) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.RunFor(seconds(3));
  for (const int killed : {1, 5, 6, 12})
    sim.Kill(killed);
  sim.RunFor(kMayNameGone);
  ExpectAllAgree(sim);
}

// Guards against a data centre without power that stays in directories: none
// of its hubs can tell that the others are gone.
TEST(MembershipSimTest, LostDataCentreIsDropped) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.RunFor(seconds(3));
  for (int i = 4; i < 8; ++i)
    sim.Kill(i);
  sim.RunFor(kMayNameGone);
  ExpectAllAgree(sim);
  for (int i = 4; i < 8; ++i)
    sim.Start(i);
  sim.RunFor(seconds(3));
  ExpectAllAgree(sim);
}

// Guards against survivors that a restarted instance cannot find: all seeds
// are down, so the survivors have to look for it.
TEST(MembershipSimTest, RestartWithoutSeedsIsFoundBySurvivors) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.RunFor(seconds(3));
  for (const int seed : {0, 4, 8, 13})
    sim.Kill(seed);
  sim.RunFor(seconds(4));
  sim.Start(13);
  sim.RunFor(seconds(3));
  ExpectAllAgree(sim);
}

// Guards against a fleet that stays apart after all processes were killed.
TEST(MembershipSimTest, AllRestartedAtOnce) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.RunFor(seconds(3));
  for (int i = 0; i < sim.size(); ++i)
    sim.Kill(i);
  sim.RunFor(seconds(1));
  StartAll(sim);
  sim.RunFor(seconds(2));
  ExpectAllAgree(sim);
}

// Guards against an instance that was cut off and is not taken back.
TEST(MembershipSimTest, CutOffInstanceReturns) {
  FleetSim sim(3, 3, 3);
  StartAll(sim);
  sim.RunFor(seconds(3));
  sim.SetCut(1, true);
  sim.RunFor(seconds(5));
  EXPECT_EQ(sim.LiveAt(4).count(sim.IdOf(1).value()), 0U);
  sim.SetCut(1, false);
  sim.RunFor(seconds(3));
  ExpectAllAgree(sim);
}

// Guards against a new lead that declares the other data centres gone, since
// it never heard from them while another one was the lead.
TEST(MembershipSimTest, LeadsThatLeaveCauseNoFalseEnds) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.RunFor(seconds(10));
  for (int i = 0; i < sim.size(); i += 3) {
    sim.Leave(i);
    sim.RunFor(seconds(4));
    sim.Start(i);
    sim.RunFor(seconds(1));
  }
  EXPECT_EQ(sim.false_ends(), 0);
}

// Guards against a number of links that grows with the fleet: only the hubs
// may have more, and no more than their data centre has instances.
TEST(MembershipSimTest, LinksAreBounded) {
  FleetSim sim(4, 75, 3);
  StartAll(sim);
  sim.RunFor(seconds(6));
  ExpectAllAgree(sim);
  int with_many = 0;
  for (int i = 0; i < sim.size(); ++i) {
    EXPECT_LE(sim.LinksAt(i), 75U + 3 * kHubsPerDataCentre);
    with_many += sim.LinksAt(i) > kHubsPerDataCentre + 3 ? 1 : 0;
  }
  EXPECT_LE(with_many, 4 * static_cast<int>(kHubsPerDataCentre) + 3);
}

// Guards against series of kills, restarts and cuts after which the tables do
// not agree.
RC_GTEST_PROP(MembershipSimTest, TablesAgreeAfterAnyTroubles, ()) {
  // Seeds in every data centre, or in one of them only.
  FleetSim sim(3, *rc::gen::element(4, 7), *rc::gen::element(1, 3));
  StartAll(sim);
  sim.RunFor(seconds(2));
  const int troubles = *rc::gen::inRange(1, 25);
  for (int i = 0; i < troubles; ++i) {
    const int index = *rc::gen::inRange(0, sim.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        sim.Kill(index);
        break;
      case 1:
        sim.Start(index);
        break;
      case 2:
        sim.SetCut(index, true);
        break;
      default:
        sim.SetCut(index, false);
        break;
    }
    sim.RunFor(milliseconds(*rc::gen::inRange(0, 4000)));
  }
  for (int i = 0; i < sim.size(); ++i)
    sim.SetCut(i, false);
  // One seed at least runs, as the platform promises.
  sim.Start(0);
  sim.RunFor(seconds(10));
  for (int i = 0; i < sim.size(); ++i) {
    if (sim.runs(i)) {
      RC_ASSERT(sim.LiveAt(i) == sim.Running());
    }
  }
}

}  // namespace
}  // namespace mangodoor
