#include "process/accounts/usage_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "limits/usage_sim.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(5);

// The most requests that the tolerance set in UsageSim allows in any window of
// 5 s, over all instances.
double Bound(double rate_per_s, double burst) {
  return (rate_per_s * 5 + burst) * 1.25 + 20;
}

/** Restarts all instances; for `alone`, each of them knows only itself. */
void RestartAllAlone(UsageSim& sim, Duration alone) {
  sim.RunFor(seconds(10));
  sim.SetCutEverywhere(true);
  for (int i = 0; i < sim.size(); ++i)
    sim.Restart(i);
  sim.RunFor(alone);
  sim.SetCutEverywhere(false);
  sim.RunFor(seconds(10));
}

// Guards against refusing callers of an account that is within its rate when
// most of its requests arrive at a few of the instances.
TEST(UsageLimiterTest, CallersWithinTheRateAreServed) {
  UsageSim sim(4, 4, 80, 80);
  // 50 requests a second, most of them at three instances.
  sim.SetDemandEverywhere(0.5);
  sim.SetDemand(1, 20);
  sim.SetDemand(6, 15);
  sim.SetDemand(11, 8);
  sim.RunFor(seconds(5));
  sim.ResetCounts();
  sim.RunFor(seconds(60));
  // The target in section 1.3 of docs/design.md.
  EXPECT_LT(sim.refused(), sim.offered() / 1000.0);
}

// Guards against refusing callers of a small account that is within its rate
// because each instance holds less than a token for it. A user has accounts of
// 8 requests a second on 19 instances.
TEST(UsageLimiterTest, SmallAccountsAreServed) {
  UsageSim sim(4, 5, 8, 8);
  sim.SetDemandEverywhere(0.25);
  sim.RunFor(seconds(10));
  sim.ResetCounts();
  sim.RunFor(seconds(2000));
  EXPECT_LT(sim.refused(), sim.offered() / 1000.0);
}

// Guards against admitting too much when an account suddenly sends many times
// its rate to all instances.
TEST(UsageLimiterTest, SuddenDemandStaysWithinTheBound) {
  UsageSim sim(4, 4, 80, 80);
  sim.SetDemandEverywhere(3);
  sim.RunFor(seconds(20));
  sim.SetDemandEverywhere(25);
  sim.RunFor(seconds(10));
  EXPECT_LE(sim.MaxAdmitted(kWindow), Bound(80, 80));
}

// Guards against admitting less than the rate when demand exceeds it.
TEST(UsageLimiterTest, FullRateIsAdmittedUnderOverload) {
  UsageSim sim(4, 4, 80, 80);
  sim.SetDemandEverywhere(25);
  sim.RunFor(seconds(10));
  sim.ResetCounts();
  sim.RunFor(seconds(20));
  EXPECT_GE(sim.offered() - sim.refused(), 0.95 * 80 * 20);
}

// Guards against instances that are cut off and each admit the full rate.
TEST(UsageLimiterTest, CutOffInstancesStayWithinTheBound) {
  UsageSim sim(4, 4, 80, 80);
  sim.SetDemandEverywhere(5);
  sim.RunFor(seconds(10));
  for (const int cut : {0, 3, 7, 9, 14})
    sim.SetCut(cut, true);
  sim.RunFor(seconds(4));
  sim.SetDemandEverywhere(40);
  sim.RunFor(seconds(10));
  EXPECT_LE(sim.MaxAdmitted(kWindow), Bound(80, 80));
}

// Guards against restarts that each grant the full burst again.
TEST(UsageLimiterTest, RestartOfAllStaysWithinTheBound) {
  UsageSim sim(4, 4, 80, 80);
  sim.SetDemandEverywhere(25);
  sim.RunFor(seconds(10));
  for (int i = 0; i < sim.size(); ++i)
    sim.Restart(i);
  sim.RunFor(seconds(10));
  EXPECT_LE(sim.MaxAdmitted(kWindow), Bound(80, 80));
}

// Guards against instances that each admit too much after all of them were
// restarted, because none knows the others yet. Callers use all instances of
// the smaller fleets, and those with advertised addresses of the largest one.
TEST(UsageLimiterTest, RestartOfAllAloneStaysWithinTheBound) {
  UsageSim small(4, 4, 80, 80);
  small.SetDemandEverywhere(20);
  RestartAllAlone(small, seconds(4));
  EXPECT_LE(small.MaxAdmitted(kWindow), Bound(80, 80));
  UsageSim medium(4, 6, 80, 80);
  medium.SetDemandEverywhere(13);
  RestartAllAlone(medium, seconds(4));
  EXPECT_LE(medium.MaxAdmitted(kWindow), Bound(80, 80));
  UsageSim large(5, 23, 80, 80);
  for (int data_centre = 0; data_centre < 5; ++data_centre) {
    for (int i = 0; i < 6; ++i)
      large.SetDemand(data_centre * 23 + i, 11);
  }
  RestartAllAlone(large, seconds(2));
  EXPECT_LE(large.MaxAdmitted(kWindow), Bound(80, 80));
}

// Guards against instances of a large fleet that each admit too much after all
// of them were restarted, if callers use all of them.
TEST(UsageLimiterTest, RestartOfALargeFleetStaysWithinTheBound) {
  UsageSim sim(5, 23, 80, 80);
  sim.SetDemandEverywhere(2.8);
  RestartAllAlone(sim, seconds(2));
  EXPECT_LE(sim.MaxAdmitted(kWindow), Bound(80, 80));
}

// Guards against instances that are cut off for long and each admit the full
// rate.
TEST(UsageLimiterTest, InstancesCutOffForLongStayWithinTheBound) {
  UsageSim sim(5, 23, 80, 80);
  sim.SetDemandEverywhere(2.8);
  sim.RunFor(seconds(10));
  for (int i = 0; i < 4; ++i) {
    sim.SetCut(i, true);
    sim.SetDemand(i, 80);
  }
  sim.RunFor(seconds(45));
  EXPECT_LE(sim.MaxAdmitted(kWindow), Bound(80, 80));
}

// Guards against a leader that lends a whole burst at once after its start: the
// process before may have lent it a moment ago. The first version arrives after
// the process has become the leader.
TEST(UsageLimiterTest, LeaderThatStartsAnewHasNothingToLend) {
  constexpr TimePoint kNow{std::chrono::hours(1)};
  const ClientAccountId account("shop");
  Document document;
  document.client_accounts = {{account, 80, 80, 1}};
  UsageLimiter limiter;
  limiter.tolerance = {kWindow, 0.25, 20};
  SetLeader(limiter, true, kNow);
  AdoptAccounts(limiter, *MakeVersion(document, "", ""), kNow);
  EXPECT_FALSE(LendToken(limiter, account, kNow + milliseconds(1)));
  EXPECT_TRUE(LendToken(limiter, account, kNow + seconds(2)));
}

// Guards against the old rate staying in use after a version lowers it.
TEST(UsageLimiterTest, LowerRateAppliesAtOnce) {
  UsageSim sim(4, 4, 80, 80);
  sim.SetDemandEverywhere(4);
  sim.RunFor(seconds(10));
  sim.SetRate(10, 10);
  sim.ResetCounts();
  sim.RunFor(seconds(20));
  EXPECT_LE(sim.MaxAdmitted(kWindow), Bound(10, 10));
}

// Guards against admitting more than Bound() in any sequence of network
// partitions, restarts and changes of demand.
RC_GTEST_PROP(UsageLimiterTest, BoundHoldsUnderAnyFaults, ()) {
  UsageSim sim(3, 4, 60, 60);
  sim.SetDemandEverywhere(3);
  sim.RunFor(seconds(5));
  const int faults = *rc::gen::inRange(1, 12);
  for (int i = 0; i < faults; ++i) {
    const int index = *rc::gen::inRange(0, sim.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        sim.SetDemand(index, *rc::gen::inRange(0, 200));
        break;
      case 1:
        sim.SetDemandEverywhere(*rc::gen::inRange(0, 40));
        break;
      case 2:
        // Only instances of the first data centre, a third of the fleet, are
        // cut off. If more are, the limiter may exceed Bound().
        sim.SetCut(*rc::gen::inRange(0, 4), *rc::gen::arbitrary<bool>());
        break;
      default:
        sim.Restart(index);
        break;
    }
    sim.RunFor(milliseconds(*rc::gen::inRange(0, 4000)));
  }
  RC_ASSERT(static_cast<double>(sim.MaxAdmitted(kWindow)) <= Bound(60, 60));
}

}  // namespace
}  // namespace mangodoor
