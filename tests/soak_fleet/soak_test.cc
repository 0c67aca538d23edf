#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <array>

#include "soak_fleet/soak_run.h"

namespace mangodoor {
namespace {

using ::testing::IsEmpty;

// Short runs for CI. Longer ones: `make soak`. Seeds that failed once stay:
// 1: a version that was replaced while the question for it was on its way
//    counted as a regress (the check, not the product);
// 203: the same with an evacuation that was lifted.
constexpr uint64_t kCiSeed = 20261204;
constexpr std::array<uint64_t, 2> kFailedSeeds{1, 203};

// Guards against promises that hold under each fault alone, and break when
// faults come in series and overlap.
TEST(SoakFleetTest, PromisesHoldUnderOverlappingFaults) {
  SoakRun run(kCiSeed, SoakSize());
  EXPECT_THAT(run.Play(), IsEmpty());
  EXPECT_GT(run.answered(), 200) << run.summary();
}

// Guards against a fault of the past that comes back.
TEST(SoakFleetTest, FailedSeedsPass) {
  for (const uint64_t seed : kFailedSeeds) {
    SCOPED_TRACE(seed);
    SoakRun run(seed, SoakSize());
    EXPECT_THAT(run.Play(), IsEmpty());
  }
}

}  // namespace
}  // namespace mangodoor
