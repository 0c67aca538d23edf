#include "process/servers/cold_window.h"

#include <gtest/gtest.h>

#include <vector>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Guards against a busy instance of a large fleet, with a part below one
// request a second, that sends one right after others of the same second.
TEST(ColdWindowTest, NoRequestFollowsThoseOfTheSameSecond) {
  ColdWindow window;
  RecordSent(window, kStart);
  SetColdByProbe(window, seconds(3), kStart + milliseconds(100));
  const ColdLimit limit{0.9, 0};
  EXPECT_FALSE(MaySendCold(window, limit, kStart + milliseconds(200)));
  EXPECT_TRUE(MaySendCold(window, limit, kStart + seconds(1)));
}

// Guards against memory for each request that a warm server gets.
TEST(ColdWindowTest, MemoryIsBoundedWhileWarm) {
  ColdWindow window;
  for (int i = 0; i < 5000; ++i)
    RecordSent(window, kStart + milliseconds(i) / 10);
  EXPECT_LE(window.sent.size(), 64U);
  EXPECT_GE(window.sent.size(), 32U);
}

}  // namespace
}  // namespace mangodoor
