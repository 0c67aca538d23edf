#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <ostream>

#include "routing/fleet_model.h"

namespace mangodoor {

std::ostream& operator<<(std::ostream& out, const FleetStep& step) {
  return out << static_cast<int>(step.kind) << ":" << step.a << ":" << step.b;
}

namespace {

// A fixed seed makes failures reproducible; RC_PARAMS in the environment
// overrides it.
const int parameters_set =
    setenv("RC_PARAMS", "seed=20261204 max_success=600 max_size=100", 0);

rc::Gen<FleetStep> GenStep() {
  using Kind = FleetStep::Kind;
  const auto kind = rc::gen::weightedElement<Kind>({
      {30, Kind::kAdvance},
      {40, Kind::kRequest},
      {40, Kind::kSend},
      {30, Kind::kFinish},
      {3, Kind::kCancel},
      {3, Kind::kRestartServer},
      {4, Kind::kWarmServer},
      {2, Kind::kPause},
      {3, Kind::kChangeVersion},
      {3, Kind::kConnectPeer},
  });
  // inRange() scales with the size, which container() varies.
  const auto number =
      rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, 500));
  return rc::gen::build<FleetStep>(rc::gen::set(&FleetStep::kind, kind),
                                   rc::gen::set(&FleetStep::a, number),
                                   rc::gen::set(&FleetStep::b, number));
}

rc::Gen<std::vector<FleetStep>> GenSteps() {
  return rc::gen::scale(8.0,
                        rc::gen::container<std::vector<FleetStep>>(GenStep()));
}

std::set<std::string> Violations(const FleetFaults& faults,
                                 const std::vector<FleetStep>& steps) {
  FleetModel model(faults, 1);
  model.Run(steps);
  model.Settle();
  return model.violations();
}

/** True if a run with these faults violates the invariant `name`. */
bool FindsViolation(const FleetFaults& faults, const std::string& name) {
  constexpr int kRuns = 100;
  for (int seed = 0; seed < kRuns; ++seed) {
    const auto steps = GenSteps()(rc::Random(seed), rc::kNominalSize).value();
    if (Violations(faults, steps).count(name) > 0)
      return true;
  }
  return false;
}

// Guards against any order of events that violates the invariants I1, I2, I3 or
// I9 of the design, ends a wait without exactly one decision, or makes the
// count of outstanding requests wrong.
TEST(FleetFuzzTest, InvariantsHoldUnderAllFaults) {
  EXPECT_TRUE(rc::check("invariants of routing", [] {
    const auto steps = *GenSteps();
    const auto violations = Violations({}, steps);
    RC_ASSERT(violations == std::set<std::string>());
  }));
}

// The tests below guard against checks that find no violation: each injects a
// fault that a check must find.

TEST(FleetFuzzTest, NoticesIgnoredCold) {
  FleetFaults faults;
  faults.ignore_cold = true;
  EXPECT_TRUE(FindsViolation(faults, "cold"));
}

TEST(FleetFuzzTest, NoticesProbesThatCatchUp) {
  FleetFaults faults;
  faults.catch_up_probes = true;
  EXPECT_TRUE(FindsViolation(faults, "probes"));
}

TEST(FleetFuzzTest, NoticesWorkOnDrainedServers) {
  FleetFaults faults;
  faults.use_drained = true;
  EXPECT_TRUE(FindsViolation(faults, "drained"));
}

TEST(FleetFuzzTest, NoticesSecondCallback) {
  FleetFaults faults;
  faults.call_back_twice = true;
  EXPECT_TRUE(FindsViolation(faults, "callback"));
}

TEST(FleetFuzzTest, NoticesCallbackAfterCancel) {
  FleetFaults faults;
  faults.keep_cancelled = true;
  EXPECT_TRUE(FindsViolation(faults, "callback"));
}

TEST(FleetFuzzTest, NoticesLostRelease) {
  FleetFaults faults;
  faults.lose_release = true;
  EXPECT_TRUE(FindsViolation(faults, "outstanding"));
}

}  // namespace
}  // namespace mangodoor
