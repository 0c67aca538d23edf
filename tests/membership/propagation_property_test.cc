#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <iostream>

#include "membership/fleet_model.h"

namespace mangodoor {

void showValue(const Step& step, std::ostream& out) {
  out << "{kind " << static_cast<int>(step.kind) << ", slot " << step.slot
      << ", choice " << step.choice << ", " << step.duration_ms << " ms}";
}

namespace {

rc::Gen<Step> GenStep() {
  using Kind = Step::Kind;
  return rc::gen::build<Step>(
      rc::gen::set(&Step::kind,
                   rc::gen::weightedElement<Kind>({{6, Kind::kAdvance},
                                                   {3, Kind::kPublish},
                                                   {4, Kind::kSetService},
                                                   {3, Kind::kPartition},
                                                   {1, Kind::kHeal},
                                                   {2, Kind::kPause},
                                                   {2, Kind::kReplace},
                                                   {1, Kind::kSetNetwork}})),
      rc::gen::set(&Step::slot, rc::gen::inRange(0, 5)),
      rc::gen::set(&Step::choice, rc::gen::inRange(0, 32)),
      rc::gen::set(&Step::duration_ms, rc::gen::inRange(25, 5000)));
}

std::string RunFaults(unsigned seed,
                      const std::vector<Step>& steps,
                      const PropagationOptions& options) {
  FleetModel fleet(seed, options);
  fleet.Advance(std::chrono::seconds(5));
  for (const Step& step : steps)
    fleet.Apply(step);
  fleet.EndFaults();
  fleet.Advance(std::chrono::seconds(15));
  fleet.CheckSettled();
  return fleet.violation();
}

// Guards against any order of faults after which an instance goes back a
// version, serves keyed requests while stale, or lacks the newest version.
RC_GTEST_PROP(SpreadProperty, FaultsBreakNoInvariant, (unsigned seed)) {
  const auto steps = *rc::gen::container<std::vector<Step>>(GenStep());
  RC_ASSERT(RunFaults(seed, steps, {}) == "");
}

Step AdvanceBy(int duration_ms) {
  return {Step::Kind::kAdvance, 0, 0, duration_ms};
}

Step SetService(int slot, ServiceMode mode) {
  return {Step::Kind::kSetService, slot, static_cast<int>(mode)};
}

Step Publish() {
  return {Step::Kind::kPublish};
}

// Cuts the slots whose bits are set off from the others.
Step Partition(int slots) {
  return {Step::Kind::kPartition, 0, slots};
}

// Guards against a model in which documents of two versions have the same
// digest, as SHA-256 digests of different texts never do. Here the service goes
// back to version 2 for an instance that then adopts a version 3 in conflict:
// reads of version 2 must not confirm version 3 while the instance is cut off.
TEST(SpreadModelTest, OwnReadOfAnOlderConflictingDocumentConfirmsNothing) {
  const std::vector<Step> steps{
      Publish(),      SetService(4, ServiceMode::kConflict),
      AdvanceBy(25),  SetService(4, ServiceMode::kStale),
      Publish(),      SetService(0, ServiceMode::kConflict),
      AdvanceBy(301), Partition(0b01111),
      AdvanceBy(526), AdvanceBy(2376)};
  EXPECT_EQ(RunFaults(0, steps, {}), "");
}

// The same for an instance whose only source of reads is the peer on its side
// of the partition, which reads version 2.
TEST(SpreadModelTest, RelayedReadOfAnOlderConflictingDocumentConfirmsNothing) {
  const std::vector<Step> steps{SetService(2, ServiceMode::kDown),
                                SetService(0, ServiceMode::kConflict),
                                Publish(),
                                SetService(1, ServiceMode::kConflict),
                                AdvanceBy(76),
                                SetService(0, ServiceMode::kStale),
                                Publish(),
                                AdvanceBy(226),
                                Partition(0b00101),
                                AdvanceBy(2926)};
  EXPECT_EQ(RunFaults(1, steps, {}), "");
}

// Runs random faults with these options until the oracle finds a violation.
std::string FirstViolation(const PropagationOptions& options) {
  constexpr int kRuns = 100;
  constexpr int kSteps = 60;
  for (int run = 0; run < kRuns; ++run) {
    rc::Random random(static_cast<uint64_t>(run));
    const auto steps =
        rc::gen::container<std::vector<Step>>(kSteps, GenStep())(random, 50)
            .value();
    std::string violation =
        RunFaults(static_cast<unsigned>(run), steps, options);
    if (!violation.empty())
      return violation;
  }
  return "";
}

// Guards against an oracle that finds violations although all rules are on.
TEST(SpreadOracleTest, NoticesNothingWithAllRules) {
  EXPECT_EQ(FirstViolation({}), "");
}

// Each test below guards against an oracle that does not notice that one rule
// is off.
TEST(SpreadOracleTest, NoticesLowerVersions) {
  PropagationOptions options;
  options.reject_lower_versions = false;
  EXPECT_THAT(FirstViolation(options),
              testing::HasSubstr("goes back a version"));
}

TEST(SpreadOracleTest, NoticesConflicts) {
  PropagationOptions options;
  options.reject_conflicts = false;
  EXPECT_THAT(FirstViolation(options), testing::HasSubstr("another digest"));
}

TEST(SpreadOracleTest, NoticesMissingFence) {
  PropagationOptions options;
  options.fence_when_stale = false;
  EXPECT_THAT(FirstViolation(options), testing::HasSubstr("without read"));
}

TEST(SpreadOracleTest, NoticesTrustInArrivalTimes) {
  PropagationOptions options;
  options.bound_message_age = false;
  EXPECT_THAT(FirstViolation(options), testing::HasSubstr("without read"));
}

TEST(SpreadOracleTest, NoticesJoiningOnACopyAlone) {
  PropagationOptions options;
  options.join_needs_peers = false;
  EXPECT_THAT(FirstViolation(options), testing::HasSubstr("copy"));
}

TEST(SpreadOracleTest, NoticesVersionsThatPeersDoNotPassOn) {
  PropagationOptions options;
  options.request_from_peers = false;
  EXPECT_THAT(FirstViolation(options), testing::HasSubstr("newest"));
}

}  // namespace
}  // namespace mangodoor
