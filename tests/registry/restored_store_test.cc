#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "registry/store_sim.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Requirement: a change must be in force on every instance within this time.
constexpr Duration kPropagationBound = seconds(2);

// Requirement: servers that live have written their entries again within two
// seconds, and the others are gone then.
constexpr Duration kRenewalBound = seconds(2);

constexpr size_t kPageSize = 5;
constexpr char kConfiguration[] = "op/config";
constexpr char kOut[] = "op/evacuate/zone";
constexpr char kServer[] = "servers/3";

/** The value of a key that is in force; empty if there is none. */
std::string InForce(RegistrySim& sim, int index, const std::string& key) {
  const auto& applied = sim.instance(index).applied;
  const auto found = applied.find(key);
  return found == applied.end() ? "" : found->second;
}

// The store comes back from an older copy: what it acknowledged since is lost,
// and is written again later.
class RestoredStoreTest : public ::testing::Test {
 protected:
  RestoredStoreTest() : sim_(3, 5, kPageSize) {
    for (int i = 0; i < 12; ++i)
      store().Put("servers/" + std::to_string(i), "ready");
    store().Put(kConfiguration, "1");
    sim_.RunFor(seconds(4));
    copy_ = store().revision();
  }

  SimStore& store() { return sim_.store(); }

  /** The store is away for a second, and comes back from the copy. */
  void Restore() {
    Serve(false);
    sim_.RunFor(seconds(1));
    store().Restore(copy_);
    Serve(true);
  }

  void Serve(bool serves) {
    for (int i = 0; i < sim_.size(); ++i)
      sim_.instance(i).behaviour =
          serves ? StoreBehaviour::kServes : StoreBehaviour::kRefuses;
  }

  /** Runs, and expects the value to be in force everywhere all the time. */
  void ExpectInForce(const std::string& key,
                     const std::string& value,
                     Duration duration) {
    for (Duration passed{}; passed < duration; passed += milliseconds(50)) {
      sim_.RunFor(milliseconds(50));
      for (int i = 0; i < sim_.size(); ++i)
        ASSERT_EQ(InForce(sim_, i, key), value)
            << key << " at instance " << i << " after "
            << std::chrono::duration<double>(passed).count() << " s";
    }
  }

  RegistrySim sim_;
  /** Revision of the older copy. */
  uint64_t copy_ = 0;
};

// Guards against instances that ignore each change of a restored store whose
// revision is not above the highest that they know; also later on, when other
// changes have brought the store past it.
TEST_F(RestoredStoreTest, LaterChangesAreInForceInTime) {
  for (const int lost : {1, 30}) {
    for (const int others : {0, 60}) {
      SCOPED_TRACE(std::to_string(lost) + " lost, " + std::to_string(others));
      copy_ = store().revision();
      for (int i = 0; i < lost; ++i)
        store().Put("servers/0", "lost " + std::to_string(i));
      sim_.RunFor(kPropagationBound);
      Restore();
      sim_.RunFor(kPropagationBound);
      for (int i = 0; i < others; ++i)
        store().Put("servers/1", "other " + std::to_string(i));
      store().Put("servers/0", "again");
      store().Put(kConfiguration,
                  std::to_string(lost) + std::to_string(others));
      sim_.RunFor(kPropagationBound);
      EXPECT_TRUE(sim_.AllCurrent());
      store().Delete("servers/2");
      store().Put("servers/2", "new");
      sim_.RunFor(kPropagationBound);
      EXPECT_TRUE(sim_.AllCurrent());
    }
  }
}

// Guards against a watch that returns changes of the restored store without the
// one that it has instead of those that are known: its revision has already
// passed the known one when an instance reaches it again.
TEST_F(RestoredStoreTest, RestorationIsNoticedWhenTheRevisionHasPassed) {
  store().Put(kConfiguration, "2");
  sim_.RunFor(kPropagationBound);
  Serve(false);
  store().Restore(copy_);
  for (int i = 0; i < 8; ++i)
    store().Put("servers/" + std::to_string(i), "draining");
  sim_.RunFor(seconds(1));
  Serve(true);
  sim_.RunFor(kPropagationBound);
  for (int i = 0; i < sim_.size(); ++i) {
    EXPECT_EQ(InForce(sim_, i, "servers/0"), "draining") << i;
    EXPECT_EQ(InForce(sim_, i, kConfiguration), "2") << i;
  }
}

// Guards against a version, an evacuation or a draining server that is
// forgotten because the copy does not have it yet.
TEST_F(RestoredStoreTest, WhatWasAcknowledgedStaysInForce) {
  store().Put(kConfiguration, "2");
  store().Put(kOut, "out");
  store().Put(kServer, "draining");
  sim_.RunFor(kPropagationBound);
  Restore();
  for (const auto& [key, value] :
       {std::pair{kConfiguration, "2"}, {kOut, "out"}, {kServer, "draining"}})
    ExpectInForce(key, value, seconds(3));
  store().Put(kConfiguration, "2");
  store().Put(kOut, "out");
  store().Delete(kServer);
  sim_.RunFor(kPropagationBound);
  EXPECT_TRUE(sim_.AllCurrent());
  store().Delete(kOut);
  sim_.RunFor(kPropagationBound);
  EXPECT_TRUE(sim_.AllCurrent());
}

// Guards against servers that have left, and evacuations that have ended, which
// the copy brings back.
TEST_F(RestoredStoreTest, WhatWasGoneDoesNotComeBack) {
  store().Put(kOut, "out");
  sim_.RunFor(kPropagationBound);
  copy_ = store().revision();
  store().Delete(kOut);
  store().Delete(kServer);
  sim_.RunFor(kPropagationBound);
  Restore();
  ExpectInForce(kOut, "", seconds(3));
  ExpectInForce(kServer, "", seconds(3));
  // The entry of the server lapses; another one starts under its id.
  store().Delete(kServer);
  sim_.RunFor(kPropagationBound);
  store().Put(kServer, "reborn");
  sim_.RunFor(kPropagationBound);
  for (int i = 0; i < sim_.size(); ++i)
    EXPECT_EQ(InForce(sim_, i, kServer), "reborn") << i;
}

// Guards against changes of the restored store that wait because an older one
// is kept in their place.
TEST_F(RestoredStoreTest, ChangesSinceTheRestorationAreInForceInTime) {
  store().Put(kConfiguration, "2");
  store().Put(kServer, "busy");
  store().Put("servers/4", "busy");
  sim_.RunFor(kPropagationBound);
  Serve(false);
  sim_.RunFor(seconds(1));
  store().Restore(copy_);
  // Written before any instance has read the restored store.
  store().Put(kServer, "draining");
  store().Put(kConfiguration, "3");
  store().Delete("servers/5");
  Serve(true);
  sim_.RunFor(kPropagationBound);
  for (int i = 0; i < sim_.size(); ++i) {
    EXPECT_EQ(InForce(sim_, i, kServer), "draining") << i;
    EXPECT_EQ(InForce(sim_, i, kConfiguration), "3") << i;
    EXPECT_EQ(InForce(sim_, i, "servers/5"), "") << i;
  }
}

// Guards against a server that gets work although its entry is not back in
// time, and against one that gets none before that.
TEST_F(RestoredStoreTest, ServerThatIsNotBackInTimeIsGone) {
  store().Put("servers/20", "ready");
  store().Put("servers/21", "ready");
  sim_.RunFor(kPropagationBound);
  Restore();
  ExpectInForce("servers/20", "ready", kRenewalBound);
  store().Put("servers/20", "ready");
  sim_.RunFor(kPropagationBound);
  for (int i = 0; i < sim_.size(); ++i) {
    EXPECT_EQ(InForce(sim_, i, "servers/20"), "ready") << i;
    EXPECT_EQ(InForce(sim_, i, "servers/21"), "") << i;
  }
}

// Guards against a state that is kept for ever because nobody writes it again.
TEST_F(RestoredStoreTest, StoreIsBelievedInTheEnd) {
  store().Put(kOut, "out");
  store().Delete(kServer);
  sim_.RunFor(kPropagationBound);
  Restore();
  sim_.RunFor(seconds(40));
  EXPECT_TRUE(sim_.AllCurrent());
}

// Guards against an instance that starts after the restoration, or does not
// reach the store during it, and then uses what was taken back.
TEST_F(RestoredStoreTest, LateInstancesKnowWhatWasAcknowledged) {
  store().Put(kOut, "out");
  store().Put(kServer, "draining");
  sim_.RunFor(kPropagationBound);
  sim_.Stop(7);
  sim_.Stop(0);
  Restore();
  for (const int restarted : {7, 0})
    sim_.Restart(restarted);
  sim_.instance(6).behaviour = StoreBehaviour::kSilent;
  sim_.RunFor(kPropagationBound);
  ExpectInForce(kOut, "out", seconds(1));
  ExpectInForce(kServer, "draining", seconds(1));
  sim_.instance(6).behaviour = StoreBehaviour::kServes;
  store().Put(kOut, "out");
  store().Put(kServer, "draining");
  sim_.RunFor(kPropagationBound);
  EXPECT_TRUE(sim_.AllCurrent());
}

// Guards against a second drill that makes instances forget what they kept in
// the first one.
TEST_F(RestoredStoreTest, TwoDrillsInARow) {
  store().Put(kOut, "out");
  store().Put(kConfiguration, "2");
  store().Delete(kServer);
  sim_.RunFor(kPropagationBound);
  Restore();
  sim_.RunFor(seconds(2));
  store().Put("servers/8", "busy");
  sim_.RunFor(seconds(1));
  Restore();
  ExpectInForce(kOut, "out", seconds(2));
  ExpectInForce(kServer, "", seconds(2));
  store().Put(kOut, "out");
  store().Put(kConfiguration, "2");
  store().Delete(kServer);
  store().Put("servers/8", "busy");
  sim_.RunFor(kPropagationBound);
  EXPECT_TRUE(sim_.AllCurrent());
}

// Guards against a burst of reloads and of whole copies, which would load the
// store and the links of a large fleet.
TEST(RestoredStoreCostTest, DrillCostsFewReadsAndNoWholeCopies) {
  RegistrySim sim(4, 28, 50);
  const std::string value(300, 'x');
  for (int i = 0; i < 300; ++i)
    sim.store().Put("servers/" + std::to_string(i), value);
  sim.RunFor(seconds(4));
  const uint64_t copy = sim.store().revision();
  for (int i = 0; i < 30; ++i)
    sim.store().Put("servers/" + std::to_string(i), value + "!");
  sim.RunFor(seconds(3));
  ASSERT_TRUE(sim.AllCurrent());
  const double requests_before = sim.store_requests();
  for (int i = 0; i < sim.size(); ++i)
    sim.instance(i).update_bytes = 0;
  sim.store().Restore(copy);
  sim.RunFor(seconds(3));
  for (int i = 0; i < 30; ++i)
    sim.store().Put("servers/" + std::to_string(i), value + "!");
  sim.RunFor(kPropagationBound);
  EXPECT_TRUE(sim.AllCurrent());
  // Six pages for each data centre, and watches.
  EXPECT_LE(sim.store_requests() - requests_before, 4 * (6 + 10));
  // The thirty items three times: restored, kept in their place, and written
  // again. A whole copy has ten times as many.
  for (int i = 0; i < sim.size(); ++i)
    EXPECT_LE(sim.instance(i).update_bytes, 4 * 30 * (value.size() + 40)) << i;
}

/**
 * The highest version that each instance has had in force. One that runs for a
 * while, and has had the version for a while, must not go back from it.
 */
class VersionOracle {
 public:
  explicit VersionOracle(RegistrySim& sim)
      : sim_(sim), instances_(static_cast<size_t>(sim.size())) {}

  /** Returns false if an instance has gone back. */
  bool RunFor(Duration duration) {
    const TimePoint end = sim_.now() + duration;
    bool good = true;
    while (sim_.now() < end) {
      sim_.RunFor(milliseconds(50));
      for (int i = 0; i < sim_.size(); ++i)
        good = Check(i) && good;
    }
    return good;
  }

  void Restart(int index) {
    sim_.Restart(index);
    At(index) = {0, sim_.now(), sim_.now(), 0};
  }

  /**
   * What an instance has had only for a short time need not be kept. `newest`
   * is the latest version written so far.
   */
  void Restore(uint64_t copy, int newest) {
    sim_.store().Restore(copy);
    for (Known& known : instances_) {
      const bool is_settled = sim_.now() - known.since >= kPropagationBound &&
                              sim_.now() - known.started >= kSettlingTime;
      if (!is_settled)
        known.excused_up_to = newest;
    }
  }

 private:
  // The time after a start for which the users' rules do not bind an instance.
  static constexpr Duration kSettlingTime = seconds(3);

  struct Known {
    int version = 0;
    TimePoint since{};
    TimePoint started{};
    /** It may go back from versions up to this one. */
    int excused_up_to = 0;
  };

  Known& At(int index) { return instances_.at(static_cast<size_t>(index)); }

  bool Check(int index) {
    const std::string value = InForce(sim_, index, kConfiguration);
    const int version = value.empty() ? 0 : std::stoi(value);
    Known& known = At(index);
    if (version < known.version && known.version > known.excused_up_to)
      return false;
    if (version != known.version)
      known.since = sim_.now();
    known.version = version;
    return true;
  }

  RegistrySim& sim_;
  std::vector<Known> instances_;
};

// Guards against any order of drills, restarts, refusals and changes after
// which instances differ from the store, or after which one of them goes back
// to a version that is older than one it had.
RC_GTEST_PROP(RestoredStorePropertyTest,
              CopiesAgreeAndVersionsNeverGoBack,
              ()) {
  RegistrySim sim(2, *rc::gen::element(4, 13), kPageSize);
  for (int i = 0; i < 8; ++i)
    sim.store().Put("servers/" + std::to_string(i), "v1");
  int version = 1;
  sim.store().Put(kConfiguration, std::to_string(version));
  VersionOracle oracle(sim);
  RC_ASSERT(oracle.RunFor(seconds(4)));
  uint64_t copy = sim.store().revision();
  const int steps = *rc::gen::inRange(1, 20);
  for (int i = 0; i < steps; ++i) {
    const int index = *rc::gen::inRange(0, sim.size());
    const std::string key =
        "servers/" + std::to_string(*rc::gen::inRange(0, 12));
    switch (*rc::gen::inRange(0, 8)) {
      case 0:
        oracle.Restart(index);
        break;
      case 1:
        sim.instance(index).behaviour =
            *rc::gen::element(StoreBehaviour::kRefuses, StoreBehaviour::kSilent,
                              StoreBehaviour::kServes);
        break;
      case 2:
        copy = sim.store().revision();
        break;
      case 3:
        oracle.Restore(std::min(copy, sim.store().revision()), version);
        break;
      case 4:
        sim.store().Put(kConfiguration, std::to_string(++version));
        break;
      case 5:
        sim.store().Delete(key);
        break;
      default:
        sim.store().Put(key, std::to_string(i));
        break;
    }
    RC_ASSERT(oracle.RunFor(milliseconds(*rc::gen::inRange(0, 2500))));
  }
  for (int i = 0; i < sim.size(); ++i)
    sim.instance(i).behaviour = StoreBehaviour::kServes;
  sim.store().Put(kConfiguration, std::to_string(++version));
  RC_ASSERT(oracle.RunFor(seconds(40)));
  RC_ASSERT(sim.AllCurrent());
}

}  // namespace
}  // namespace mangodoor
