#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "registry/store_sim.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// The users' bound for a new version to be in force.
constexpr Duration kInForce = seconds(2);

constexpr size_t kPage = 5;

void Fill(RegistrySim& sim, int items) {
  for (int i = 0; i < items; ++i)
    sim.store().Put("servers/" + std::to_string(i), "v1");
}

// Guards against a change that is not in force everywhere in time.
TEST(RegistrySimTest, ChangesReachEveryInstance) {
  RegistrySim sim(4, 5, kPage);
  Fill(sim, 12);
  sim.RunFor(seconds(3));
  ASSERT_TRUE(sim.AllCurrent());
  for (int i = 0; i < 6; ++i) {
    sim.store().Put("op/config", std::to_string(i));
    sim.store().Delete("servers/" + std::to_string(i));
    sim.RunFor(kInForce);
    EXPECT_TRUE(sim.AllCurrent());
  }
}

// Guards against a reader that tells a large data centre all by itself: on a
// narrow link the last instance would hear seconds after the first.
TEST(RegistrySimTest, HubsShareTheTelling) {
  constexpr int kEach = 75;
  RegistrySim sim(2, kEach, kPage);
  Fill(sim, 12);
  sim.RunFor(seconds(3));
  ASSERT_TRUE(sim.AllCurrent());
  for (int i = 0; i < sim.size(); ++i)
    sim.reader(i).updates = 0;
  sim.store().Put("op/config", "v2");
  // Sooner than the beats, so that nobody had to ask.
  sim.RunFor(milliseconds(300));
  EXPECT_TRUE(sim.AllCurrent());
  for (int i = 0; i < sim.size(); ++i)
    EXPECT_LE(sim.reader(i).updates, kEach / 3 + 2) << i;
}

// Guards against a part of a large data centre that hears nothing because the
// hub that is to tell it has stopped, or because the reader is no hub.
TEST(RegistrySimTest, StoppedHubsAreMadeUpFor) {
  for (const int stopped : {1, 2, 3}) {
    RegistrySim sim(1, 40, kPage);
    Fill(sim, 12);
    sim.RunFor(seconds(3));
    for (int i = 0; i < stopped; ++i)
      sim.Stop(i);
    // Long enough for another instance to read, without any hub in the worst
    // case; ranks do not change here.
    sim.RunFor(seconds(8));
    if (stopped == 3)
      sim.Restart(1);
    sim.store().Put("op/config", "v2");
    sim.RunFor(kInForce);
    EXPECT_TRUE(sim.AllCurrent()) << stopped;
  }
}

// Guards against reads that cost more than what they bring: calls of a quiet
// day must stay under 2% of its worth, which are about 330 for four data
// centres, and must not grow with the instances.
TEST(RegistrySimTest, QuietDayNeedsFewCalls) {
  int calls[2];
  for (const int each : {4, 40}) {
    RegistrySim sim(4, each, 50);
    Fill(sim, 36);
    sim.RunFor(seconds(3));
    const int before = sim.calls();
    for (int i = 0; i < 16; ++i) {
      sim.store().Put("servers/" + std::to_string(i), "v2");
      sim.RunFor(milliseconds(2500));
    }
    ASSERT_TRUE(sim.AllCurrent());
    calls[each == 40] = sim.calls() - before;
  }
  EXPECT_LT(calls[0], 200);
  EXPECT_EQ(calls[0], calls[1]);
}

// Guards against a data centre that no longer hears of changes once the store
// turns its reader away, in any of the ways that it may.
TEST(RegistrySimTest, OthersReadWhenTheReaderIsTurnedAway) {
  for (const StoreMood mood : {StoreMood::kRefuses, StoreMood::kSilent}) {
    RegistrySim sim(2, 5, kPage);
    Fill(sim, 12);
    sim.RunFor(seconds(3));
    sim.reader(0).mood = mood;
    sim.reader(1).mood = mood;
    // A silent store is noticed when a watch does not end as it said.
    sim.RunFor(seconds(6));
    sim.store().Put("op/config", "new");
    sim.RunFor(kInForce);
    EXPECT_TRUE(sim.AllCurrent());
  }
}

// Guards against an instance that trusts its data centre's readers while
// these are cut off from the store: each would take its time to notice.
TEST(RegistrySimTest, SeveralReadersCutOffAtOnce) {
  RegistrySim sim(1, 3, kPage);
  Fill(sim, 12);
  sim.RunFor(seconds(3));
  sim.reader(0).mood = StoreMood::kSilent;
  sim.reader(1).mood = StoreMood::kSilent;
  sim.RunFor(seconds(1));
  sim.store().Put("op/config", "new");
  sim.RunFor(kInForce);
  EXPECT_TRUE(sim.IsCurrent(2));
}

// Guards against a data centre whose reader waits at a watch that has gone
// silent, while the others have long heard of the change.
TEST(RegistrySimTest, SilentWatchIsMadeUpForByOthers) {
  RegistrySim sim(3, 3, kPage);
  Fill(sim, 12);
  sim.RunFor(seconds(3));
  sim.reader(0).mood = StoreMood::kLosesWatch;
  sim.RunFor(milliseconds(300));
  sim.store().Put("op/config", "new");
  sim.RunFor(kInForce);
  EXPECT_TRUE(sim.AllCurrent());
}

// Guards against a storm of versions whose sum is longer than a message may
// be: followers need the last one only.
TEST(RegistrySimTest, FollowersGetOneChangeForEachKey) {
  RegistrySim sim(1, 2, kPage);
  Fill(sim, 3);
  sim.RunFor(seconds(3));
  const uint64_t before = sim.store().revision();
  for (int i = 0; i < 50; ++i)
    sim.store().Put("op/config", std::to_string(i));
  sim.RunFor(kInForce);
  const FeedActions actions = HandleFeedRequest(
      *sim.reader(0).feed, InstanceId("late"), FeedRequest{before});
  ASSERT_EQ(actions.messages.size(), 1U);
  const auto& update = std::get<FeedUpdate>(actions.messages[0].message);
  ASSERT_EQ(update.items.size(), 1U);
  EXPECT_EQ(update.items[0].value, "49");
}

// Guards against a data centre that the store refuses as a whole: the others
// have to pass changes on.
TEST(RegistrySimTest, RefusedDataCentreHearsFromOthers) {
  RegistrySim sim(3, 3, kPage);
  Fill(sim, 12);
  sim.RunFor(seconds(3));
  for (int i = 0; i < 3; ++i)
    sim.reader(i).mood = StoreMood::kRefuses;
  sim.RunFor(seconds(3));
  sim.store().Put("op/config", "new");
  sim.RunFor(seconds(3));
  EXPECT_TRUE(sim.AllCurrent());
}

// Guards against a leaving server that stays in use because the store forgot
// the change before anyone heard of it.
TEST(RegistrySimTest, DeletionInAForgottenHistoryIsFound) {
  RegistrySim sim(2, 3, kPage);
  Fill(sim, 12);
  sim.RunFor(seconds(3));
  for (int i = 0; i < sim.size(); ++i)
    sim.reader(i).mood = StoreMood::kRefuses;
  sim.RunFor(seconds(1));
  sim.store().Delete("servers/3");
  sim.store().Put("servers/4", "v2");
  sim.store().Compact();
  for (int i = 0; i < sim.size(); ++i)
    sim.reader(i).mood = StoreMood::kServes;
  sim.RunFor(seconds(4));
  EXPECT_TRUE(sim.AllCurrent());
}

// Guards against an outage that is asked away: refused calls cost too.
TEST(RegistrySimTest, OutageCostsFewCalls) {
  RegistrySim sim(4, 4, kPage);
  Fill(sim, 12);
  sim.RunFor(seconds(3));
  const int before = sim.calls();
  for (int i = 0; i < sim.size(); ++i)
    sim.reader(i).mood = StoreMood::kRefuses;
  sim.RunFor(seconds(9));
  // One call a second from each instance would be 144.
  EXPECT_LT(sim.calls() - before, 120);
}

// Guards against any order of restarts, refusals, silence, lost histories and
// changes after which an instance holds something else than the store, or has
// gone back to an older state meanwhile.
RC_GTEST_PROP(RegistrySimTest, CopiesAgreeAfterAnyTroubles, ()) {
  // In larger data centres the hubs share the telling.
  RegistrySim sim(2, *rc::gen::element(4, 13), kPage);
  Fill(sim, 8);
  sim.RunFor(seconds(1));
  const int troubles = *rc::gen::inRange(1, 30);
  for (int i = 0; i < troubles; ++i) {
    const int index = *rc::gen::inRange(0, sim.size());
    const std::string key =
        "servers/" + std::to_string(*rc::gen::inRange(0, 12));
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
        sim.Restart(index);
        break;
      case 1:
        sim.Stop(index);
        break;
      case 2:
        sim.reader(index).mood = *rc::gen::element(
            StoreMood::kRefuses, StoreMood::kSilent, StoreMood::kServes);
        break;
      case 3:
        sim.store().Compact();
        break;
      case 4:
        sim.store().Delete(key);
        break;
      default:
        sim.store().Put(key, std::to_string(i));
        break;
    }
    sim.RunFor(milliseconds(*rc::gen::inRange(0, 2000)));
  }
  for (int i = 0; i < sim.size(); ++i)
    sim.reader(i).mood = StoreMood::kServes;
  sim.RunFor(seconds(10));
  RC_ASSERT(sim.AllCurrent());
}

}  // namespace
}  // namespace mangodoor
