#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "members/fleet_sim.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requirement: within this time after the process of an instance has ended,
// address queries must no longer return the instance.
constexpr Duration kRemovalTime = seconds(6);

void StartAll(FleetSim& sim) {
  for (int i = 0; i < sim.size(); ++i)
    sim.Start(i);
}

void ExpectAllAgree(const FleetSim& sim) {
  for (int i = 0; i < sim.size(); ++i) {
    if (sim.IsRunning(i)) {
      EXPECT_EQ(sim.LiveAt(i), sim.Running()) << "at " << sim.IdOf(i);
    }
  }
}

// Guards against instances that do not know the whole fleet soon after a start.
TEST(MembershipSimTest, InstancesFindEachOtherThroughSeeds) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.RunFor(seconds(2));
  ExpectAllAgree(sim);
}

// Guards against membership traffic that grows with the square of the fleet's
// size while all of it starts: instances that only looked for their own data
// centre were sent all other members, too, over the expensive paths between
// data centres.
TEST(MembershipSimTest, StartOfALargeFleetSendsEachMemberAFewTimes) {
  constexpr int kDataCentres = 4;
  constexpr int kEach = 75;
  constexpr size_t kAll = kDataCentres * kEach;
  FleetSim sim(kDataCentres, kEach, 3);
  StartAll(sim);
  sim.RunFor(seconds(3));
  ExpectAllAgree(sim);
  // A hub sends each instance of its data centre the states of all others.
  for (int i = 0; i < sim.size(); ++i)
    EXPECT_LE(sim.StatesSentBy(i), 2 * kAll * kEach) << i;
  // Each data centre is sent the others' members a few times, and each instance
  // is sent a few members by the seeds.
  EXPECT_LE(sim.remote_states_sent(), 8 * kAll * kDataCentres);
}

// Guards against instances that do not find each other if some seeds are down.
TEST(MembershipSimTest, OneRunningSeedIsEnough) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.Kill(0);
  sim.Kill(4);
  sim.RunFor(seconds(8));
  ExpectAllAgree(sim);
}

// Guards against address queries that return instances long after these ended.
TEST(MembershipSimTest, KilledInstancesAreRemovedEverywhere) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.RunFor(seconds(3));
  for (const int killed : {1, 5, 6, 12})
    sim.Kill(killed);
  sim.RunFor(kRemovalTime);
  ExpectAllAgree(sim);
}

// Guards against address queries that still return the instances of a data
// centre that lost power: it has no hub left that could declare them gone.
TEST(MembershipSimTest, LostDataCentreIsRemoved) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.RunFor(seconds(3));
  for (int i = 4; i < 8; ++i)
    sim.Kill(i);
  sim.RunFor(kRemovalTime);
  ExpectAllAgree(sim);
  for (int i = 4; i < 8; ++i)
    sim.Start(i);
  sim.RunFor(seconds(3));
  ExpectAllAgree(sim);
}

// Guards against stopped instances that stay in the tables: all instances of a
// data centre stop, and the first one restarts before the others count the data
// centre as silent. It is first sent the hubs, and only it can find the rest.
TEST(MembershipSimTest, FirstInstanceOfARestartedDataCentreFindsTheStopped) {
  constexpr int kEach = 7;
  for (int restarted = kEach; restarted < 2 * kEach; ++restarted) {
    FleetSim sim(3, kEach, 3);
    StartAll(sim);
    sim.RunFor(seconds(3));
    for (int i = kEach; i < 2 * kEach; ++i)
      sim.Kill(i);
    sim.RunFor(seconds(1));
    sim.Start(restarted);
    sim.RunFor(kRemovalTime);
    ExpectAllAgree(sim);
  }
}

// Guards against a stopped instance that other data centres list for good: it
// reached only seeds elsewhere before it stopped, so the hubs of its own data
// centre, which have to notice its silence, do not know that it had restarted.
TEST(MembershipSimTest, InstanceThatReachedOnlyOtherDataCentresIsRemoved) {
  constexpr int kEach = 7;
  for (int restarted = 1; restarted < kEach; ++restarted) {
    FleetSim sim(3, kEach, 3);
    StartAll(sim);
    sim.RunFor(seconds(3));
    sim.Kill(0);
    sim.Start(restarted);
    sim.RunFor(milliseconds(200));
    sim.Kill(restarted);
    sim.RunFor(kRemovalTime);
    ExpectAllAgree(sim);
  }
}

// Guards against a restarted instance that stays outside the fleet: all seeds
// are down, so the running instances have to link to it.
TEST(MembershipSimTest, RestartedInstanceIsFoundWithoutSeeds) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.RunFor(seconds(3));
  for (const int killed : {0, 4, 8, 13})
    sim.Kill(killed);
  sim.RunFor(seconds(4));
  sim.Start(13);
  sim.RunFor(seconds(3));
  ExpectAllAgree(sim);
}

// Guards against a fleet that stays split after all processes were killed.
TEST(MembershipSimTest, FleetFormsAgainAfterAllRestart) {
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

// Guards against an isolated instance that is not added again afterwards.
TEST(MembershipSimTest, IsolatedInstanceRejoins) {
  FleetSim sim(3, 3, 3);
  StartAll(sim);
  sim.RunFor(seconds(3));
  sim.SetIsolated(1, true);
  sim.RunFor(seconds(5));
  EXPECT_EQ(sim.LiveAt(4).count(sim.IdOf(1).value()), 0U);
  sim.SetIsolated(1, false);
  sim.RunFor(seconds(3));
  ExpectAllAgree(sim);
}

// Guards against a new leader that declares the other data centres gone because
// it received nothing from them while another instance was the leader.
TEST(MembershipSimTest, LeavingLeadersCauseNoFalseRemovals) {
  FleetSim sim(4, 4, 3);
  StartAll(sim);
  sim.RunFor(seconds(10));
  for (int i = 0; i < sim.size(); i += 3) {
    sim.Leave(i);
    sim.RunFor(seconds(4));
    sim.Start(i);
    sim.RunFor(seconds(1));
  }
  EXPECT_EQ(sim.false_removals(), 0);
}

// Guards against a number of links for each instance that grows with the fleet.
// Only hubs may have more: one to each instance of their data centre, and a few
// to others.
TEST(MembershipSimTest, LinksAreBounded) {
  FleetSim sim(4, 75, 3);
  StartAll(sim);
  sim.RunFor(seconds(6));
  ExpectAllAgree(sim);
  int instances_with_many_links = 0;
  for (int i = 0; i < sim.size(); ++i) {
    EXPECT_LE(sim.LinksAt(i), 75U + 3 * kHubsPerDataCentre);
    instances_with_many_links +=
        sim.LinksAt(i) > kHubsPerDataCentre + 3 ? 1 : 0;
  }
  EXPECT_LE(instances_with_many_links,
            4 * static_cast<int>(kHubsPerDataCentre) + 3);
}

// Guards against sequences of kills, restarts and network cuts after which the
// tables disagree.
RC_GTEST_PROP(MembershipSimTest, TablesAgreeAfterAnyFaults, ()) {
  // Seeds in every data centre, or in one only.
  FleetSim sim(3, *rc::gen::element(4, 7), *rc::gen::element(1, 3));
  StartAll(sim);
  sim.RunFor(seconds(2));
  const int faults = *rc::gen::inRange(1, 25);
  for (int i = 0; i < faults; ++i) {
    const int index = *rc::gen::inRange(0, sim.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        sim.Kill(index);
        break;
      case 1:
        sim.Start(index);
        break;
      case 2:
        sim.SetIsolated(index, true);
        break;
      default:
        sim.SetIsolated(index, false);
        break;
    }
    sim.RunFor(milliseconds(*rc::gen::inRange(0, 4000)));
  }
  for (int i = 0; i < sim.size(); ++i)
    sim.SetIsolated(i, false);
  // The platform guarantees that at least one seed runs.
  sim.Start(0);
  sim.RunFor(seconds(10));
  for (int i = 0; i < sim.size(); ++i) {
    if (sim.IsRunning(i)) {
      RC_ASSERT(sim.LiveAt(i) == sim.Running());
    }
  }
}

}  // namespace
}  // namespace mangodoor
