#include "standins/lib/cold_phase.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::IsEmpty;
using ::testing::SizeIs;

constexpr TimePoint kStart{std::chrono::hours(1)};

std::vector<ColdArrival> ArrivalsAt(const std::vector<int>& times_ms) {
  std::vector<ColdArrival> arrivals;
  arrivals.reserve(times_ms.size());
  for (const int time_ms : times_ms)
    arrivals.push_back({std::to_string(time_ms), milliseconds(time_ms)});
  return arrivals;
}

// Guards against a stand-in that reports or counts a cold time other than the
// one it was told.
TEST(ColdPhaseTest, EndsAfterItsDuration) {
  StandinColdPhase phase;
  RecordColdArrival(phase, "warm", kStart);
  EXPECT_EQ(ColdRemaining(phase, kStart), Duration::zero());
  StartColdPhase(phase, seconds(3), kStart);
  EXPECT_EQ(ColdRemaining(phase, kStart + seconds(1)), seconds(2));
  RecordColdArrival(phase, "cold", kStart + seconds(1));
  RecordColdArrival(phase, "warm again", kStart + seconds(3));
  ASSERT_THAT(phase.arrivals, SizeIs(1));
  EXPECT_EQ(phase.arrivals[0].request_id, "cold");
  EXPECT_EQ(phase.arrivals[0].cold_for, seconds(1));
  StartColdPhase(phase, seconds(1), kStart + seconds(9));
  EXPECT_THAT(phase.arrivals, IsEmpty());
}

// Guards against a count that misses a busy second between two whole ones, or
// takes arrivals a whole second apart as of one second.
TEST(ColdPhaseTest, BusiestSecondIsAnyInterval) {
  EXPECT_THAT(BusiestSecond({}), IsEmpty());
  const std::vector<ColdArrival> busiest =
      BusiestSecond(ArrivalsAt({0, 100, 900, 1100, 1200, 1899, 1900, 3000}));
  ASSERT_THAT(busiest, SizeIs(4));
  EXPECT_EQ(busiest.front().cold_for, milliseconds(900));
  EXPECT_EQ(busiest.back().cold_for, milliseconds(1899));
}

// Guards against arrivals that tests read other than the stand-in wrote them.
TEST(ColdPhaseTest, EncodedArrivalsAreReadAsTheyWere) {
  const std::vector<ColdArrival> arrivals = ArrivalsAt({5, 2500});
  const std::vector<ColdArrival> decoded =
      DecodeColdArrivals(EncodeColdArrivals(arrivals));
  ASSERT_THAT(decoded, SizeIs(2));
  EXPECT_EQ(decoded[1].request_id, "2500");
  EXPECT_EQ(decoded[1].cold_for, milliseconds(2500));
  EXPECT_THROW(DecodeColdArrivals("{"), std::invalid_argument);
}

}  // namespace
}  // namespace mangodoor
