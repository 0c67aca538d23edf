#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cstdlib>
#include <iostream>

#include "limits/scenario.h"

namespace mangodoor {
namespace {

// Seed and number of scenarios of a normal run. RC_PARAMS in the environment
// overrides them, for example RC_PARAMS="seed=7 max_success=5000".
const int parameters_set =
    setenv("RC_PARAMS", "seed=20261204 max_success=60", 0);

// Guards against admitting more than rate and burst allow in any window, and
// against waiting requests that are decided late, twice or never. The faults
// are lost, repeated, late and reordered messages, pauses, kills and changed
// versions.
RC_GTEST_PROP(RateAndBurst, HoldInEveryWindow, ()) {
  RC_ASSERT(parameters_set == 0);
  const Scenario scenario = *AnyScenario();
  const std::optional<std::string> violation =
      Play(scenario, InjectedLimitFaults());
  if (violation)
    RC_FAIL(*violation);
}

/** A process is replaced while a version with fewer addresses propagates. */
Scenario ReplacedDuringAddressChange(int seed) {
  Scenario scenario;
  scenario.instances = 3;
  scenario.seed = seed;
  scenario.rates = 6;  // 200 a second, burst 4
  scenario.commands = {{CommandKind::kLoad, 0, 0, 12000},
                       {CommandKind::kFloodAll, 0, 0, 500},
                       // A version without the third address, which
                       // reaches every instance within 8.9 s.
                       {CommandKind::kAddresses, 0, 100, 0},
                       {CommandKind::kKill, 0, 0, 6000}};
  return scenario;
}

// Guards against a new process that uses the share of its first version while
// other instances still use the share that an earlier version gives them.
TEST(ReplacedProcessTest, HasNoShareWhileAnAddressChangePropagates) {
  InjectedLimitFaults faults;
  faults.new_process_trusts_first_version = true;
  int found = 0;
  for (int seed = 0; seed < 20; ++seed) {
    const Scenario scenario = ReplacedDuringAddressChange(seed);
    EXPECT_EQ(Play(scenario, InjectedLimitFaults()), std::nullopt)
        << "seed " << seed;
    found += Play(scenario, faults) ? 1 : 0;
  }
  EXPECT_GT(found, 0) << "no scenario shows the fault";
}

/** An injected fault; sets several members if one alone does no harm. */
struct NamedFault {
  const char* name;
  std::vector<bool InjectedLimitFaults::*> members;
  /** Seed of the first scenario to try, close to one that shows the fault. */
  uint64_t first_seed;
};

void PrintTo(const NamedFault& fault, std::ostream* out) {
  *out << fault.name;
}

class CheckerTest : public testing::TestWithParam<NamedFault> {};

/** Maximum number of scenarios tried, each with its own seed. */
constexpr uint64_t kScenarios = 300;

// Guards against an oracle, or a set of scenarios, that misses a fault in the
// limiter.
TEST_P(CheckerTest, FindsDeliberateFault) {
  InjectedLimitFaults faults;
  for (bool InjectedLimitFaults::*member : GetParam().members)
    faults.*member = true;
  const rc::Gen<Scenario> scenarios = AnyScenario();
  const uint64_t first = GetParam().first_seed;
  for (uint64_t seed = first; seed < first + kScenarios; ++seed) {
    const Scenario scenario = scenarios(rc::Random(seed), 100).value();
    if (const auto violation = Play(scenario, faults)) {
      std::cout << "seed " << seed << ": " << *violation << "\n";
      return;
    }
  }
  FAIL() << "no scenario shows the fault " << GetParam().name;
}

INSTANTIATE_TEST_SUITE_P(
    Faults,
    CheckerTest,
    testing::Values(
        NamedFault{"GrantorKeepsLentCapacity",
                   {&InjectedLimitFaults::grantor_keeps_lent_capacity},
                   0},
        NamedFault{"BorrowerCountsFromArrival",
                   {&InjectedLimitFaults::borrower_counts_from_arrival,
                    &InjectedLimitFaults::unanswered_request_is_kept},
                   37},
        NamedFault{"RepeatedGrantCounts",
                   {&InjectedLimitFaults::repeated_grant_counts},
                   31},
        NamedFault{"EndedLeaseStaysInUse",
                   {&InjectedLimitFaults::ended_lease_stays_in_use},
                   0},
        NamedFault{"ShareBeginsWithFullBucket",
                   {&InjectedLimitFaults::share_begins_with_full_bucket},
                   0},
        NamedFault{"NewProcessUsesShareAtOnce",
                   {&InjectedLimitFaults::new_process_uses_share_at_once},
                   104},
        NamedFault{"PauseIsNotNoticed",
                   {&InjectedLimitFaults::pause_is_not_noticed},
                   141},
        NamedFault{"ShareChangesWithoutOverlap",
                   {&InjectedLimitFaults::share_changes_without_overlap},
                   0},
        NamedFault{"TokensAboveCapAreKept",
                   {&InjectedLimitFaults::tokens_above_cap_are_kept},
                   165},
        NamedFault{"LateRequestIsAdmitted",
                   {&InjectedLimitFaults::late_request_is_admitted},
                   0},
        NamedFault{"RefusedRequestStaysInQueue",
                   {&InjectedLimitFaults::refused_request_stays_in_queue},
                   0}),
    [](const testing::TestParamInfo<NamedFault>& fault) {
      return std::string(fault.param.name);
    });

}  // namespace
}  // namespace mangodoor
