#include "process/accounts/usage_limiter.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "limits/usage_sim.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWindow = seconds(5);

// The users' bound on what runs in any window, over all machines.
double Bound(double rate_per_s, double burst) {
  return (rate_per_s * 5 + burst) * 1.25 + 20;
}

// Guards against callers refused although their account is within its rate,
// wherever they happen to connect.
TEST(UsageLimiterTest, CallersWithinTheRateAreServed) {
  UsageSim sim(4, 4, 80, 80);
  // 50 requests a second, most of them at three instances.
  sim.SetDemandEverywhere(0.5);
  sim.SetDemand(1, 20);
  sim.SetDemand(6, 15);
  sim.SetDemand(11, 8);
  sim.RunFor(seconds(5));
  sim.ForgetCounts();
  sim.RunFor(seconds(60));
  // Target of design 1.3.
  EXPECT_LT(sim.refused(), sim.asked() / 1000.0);
}

// Guards against callers of a small account that are refused since each
// instance holds less than a token for it, while the account as a whole is
// within its rate: 8 requests a second at 19 instances, as a user has them.
TEST(UsageLimiterTest, SmallAccountsAreServed) {
  UsageSim sim(4, 5, 8, 8);
  sim.SetDemandEverywhere(0.25);
  sim.RunFor(seconds(10));
  sim.ForgetCounts();
  sim.RunFor(seconds(2000));
  EXPECT_LT(sim.refused(), sim.asked() / 1000.0);
}

// Guards against an account that takes what others need by sending many times
// its rate, suddenly and everywhere.
TEST(UsageLimiterTest, SuddenDemandStaysWithinTheBound) {
  UsageSim sim(4, 4, 80, 80);
  sim.SetDemandEverywhere(3);
  sim.RunFor(seconds(20));
  sim.SetDemandEverywhere(25);
  sim.RunFor(seconds(10));
  EXPECT_LE(sim.MostAdmitted(kWindow), Bound(80, 80));
}

// Guards against a rate that is not used up while callers ask for more.
TEST(UsageLimiterTest, RateIsUsedUpUnderPressure) {
  UsageSim sim(4, 4, 80, 80);
  sim.SetDemandEverywhere(25);
  sim.RunFor(seconds(10));
  sim.ForgetCounts();
  sim.RunFor(seconds(20));
  EXPECT_GE(sim.asked() - sim.refused(), 0.95 * 80 * 20);
}

// Guards against instances that are cut off and each admit the whole rate.
TEST(UsageLimiterTest, CutOffInstancesStayWithinTheBound) {
  UsageSim sim(4, 4, 80, 80);
  sim.SetDemandEverywhere(5);
  sim.RunFor(seconds(10));
  for (const int cut : {0, 3, 7, 9, 14})
    sim.SetCut(cut, true);
  sim.RunFor(seconds(4));
  sim.SetDemandEverywhere(40);
  sim.RunFor(seconds(10));
  EXPECT_LE(sim.MostAdmitted(kWindow), Bound(80, 80));
}

// Guards against a burst that each restart grants again.
TEST(UsageLimiterTest, RestartOfAllStaysWithinTheBound) {
  UsageSim sim(4, 4, 80, 80);
  sim.SetDemandEverywhere(25);
  sim.RunFor(seconds(10));
  for (int i = 0; i < sim.size(); ++i)
    sim.Restart(i);
  sim.RunFor(seconds(10));
  EXPECT_LE(sim.MostAdmitted(kWindow), Bound(80, 80));
}

// Guards against an old, higher rate that goes on after a version lowers it.
TEST(UsageLimiterTest, LowerRateBindsAtOnce) {
  UsageSim sim(4, 4, 80, 80);
  sim.SetDemandEverywhere(4);
  sim.RunFor(seconds(10));
  sim.SetRate(10, 10);
  sim.ForgetCounts();
  sim.RunFor(seconds(20));
  EXPECT_LE(sim.MostAdmitted(kWindow), Bound(10, 10));
}

// Guards against any order of cuts, restarts and swings of demand in which
// more runs than the users allow.
RC_GTEST_PROP(UsageLimiterTest, BoundHoldsUnderAnyTroubles, ()) {
  UsageSim sim(3, 4, 60, 60);
  sim.SetDemandEverywhere(3);
  sim.RunFor(seconds(5));
  const int troubles = *rc::gen::inRange(1, 12);
  for (int i = 0; i < troubles; ++i) {
    const int index = *rc::gen::inRange(0, sim.size());
    switch (*rc::gen::inRange(0, 4)) {
      case 0:
        sim.SetDemand(index, *rc::gen::inRange(0, 200));
        break;
      case 1:
        sim.SetDemandEverywhere(*rc::gen::inRange(0, 40));
        break;
      case 2:
        // A third of the fleet at most is cut off, as the users state.
        sim.SetCut(*rc::gen::inRange(0, 4), *rc::gen::arbitrary<bool>());
        break;
      default:
        sim.Restart(index);
        break;
    }
    sim.RunFor(milliseconds(*rc::gen::inRange(0, 4000)));
  }
  RC_ASSERT(static_cast<double>(sim.MostAdmitted(kWindow)) <= Bound(60, 60));
}

}  // namespace
}  // namespace mangodoor
