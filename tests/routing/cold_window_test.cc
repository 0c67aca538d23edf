#include "process/servers/cold_window.h"

#include <gtest/gtest.h>

#include <algorithm>
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
  SetColdByProbe(window, seconds(3), kStart + milliseconds(100),
                 kStart + milliseconds(100));
  // The turn of this instance is from 0.9 to 1.4 s and from -0.2 to 0.3 s.
  const ColdLimit limit{0.9, 0.8};
  EXPECT_FALSE(MaySendCold(window, limit, kStart + milliseconds(200)));
  EXPECT_TRUE(MaySendCold(window, limit, kStart + seconds(1)));
}

// Guards against a server that turns cold again, and gets the first requests of
// all instances at once (24 in a second, 12.8 are allowed): each instance had
// sent its last one longer ago than its interval.
TEST(ColdWindowTest, InstancesAreSpreadInEachColdPhase) {
  constexpr int kInstances = 24;
  constexpr double kColdPerS = 3.2;
  constexpr double kAllowedInOneSecond = kColdPerS * 1.5 + 8;
  constexpr seconds kPhase{20};
  std::vector<ColdWindow> windows(kInstances);
  std::vector<TimePoint> sent;
  for (milliseconds t{0}; t < 3 * kPhase; t += milliseconds(10)) {
    const TimePoint now = kStart + t;
    if (t == milliseconds(0) || t == 2 * kPhase) {
      for (ColdWindow& window : windows)
        SetColdByProbe(window, kPhase, now, now);
    }
    for (int i = 0; i < kInstances; ++i) {
      ColdWindow& window = windows.at(static_cast<size_t>(i));
      const ColdLimit limit{kColdPerS / kInstances, i / double{kInstances}};
      if (!IsCold(window, now) || !MaySendCold(window, limit, now))
        continue;
      RecordSent(window, now);
      sent.push_back(now);
    }
    const auto recent =
        std::count_if(sent.begin(), sent.end(),
                      [now](TimePoint at) { return now - at < seconds(1); });
    ASSERT_LE(recent, kAllowedInOneSecond) << t.count();
  }
  // The server is used nonetheless.
  EXPECT_GT(sent.size(), 2 * kPhase.count() * kColdPerS * 0.9);
}

// Guards against a sent request that is no longer counted because an older one,
// which has left the second, was not sent.
TEST(ColdWindowTest, UnsentRequestOfAnEarlierSecondRemovesNothing) {
  ColdWindow window;
  RecordSent(window, kStart);
  RecordSent(window, kStart + seconds(2));
  RemoveUnsent(window, kStart + milliseconds(1));
  EXPECT_EQ(window.sent.size(), 1U);
  RemoveUnsent(window, kStart + milliseconds(2001));
  EXPECT_EQ(window.sent.size(), 0U);
}

// Guards against a server that counts as warm because the response to a probe
// arrives after a record that was written later.
TEST(ColdWindowTest, LateResponseDoesNotEndTheColdPhaseOfALaterRecord) {
  ColdWindow window;
  SetColdByRecord(window, seconds(3), kStart + milliseconds(10));
  SetColdByProbe(window, seconds(0), kStart, kStart + milliseconds(20));
  EXPECT_TRUE(IsCold(window, kStart + milliseconds(30)));
  SetColdByProbe(window, seconds(0), kStart + milliseconds(40),
                 kStart + milliseconds(50));
  EXPECT_FALSE(IsCold(window, kStart + milliseconds(60)));
}

// Guards against instances of a large fleet that all send at once because their
// callers come late in a cold phase.
TEST(ColdWindowTest, UnusedTurnsAreLost) {
  constexpr int kInstances = 24;
  const double rate_per_s = 3.2 / kInstances;
  for (const seconds first_request : {seconds(5), seconds(40), seconds(100)}) {
    int sent = 0;
    for (int i = 0; i < kInstances; ++i) {
      ColdWindow window;
      SetColdByProbe(window, seconds(200), kStart, kStart);
      const ColdLimit limit{rate_per_s, i / double{kInstances}};
      sent += MaySendCold(window, limit, kStart + first_request);
    }
    EXPECT_LE(sent, 3.2) << first_request.count();
  }
}

// Guards against an instance whose part above one request a second is rounded
// down.
TEST(ColdWindowTest, PartsOfARequestAreUsed) {
  ColdWindow window;
  SetColdByProbe(window, seconds(20), kStart, kStart);
  const ColdLimit limit{1.6, 0};
  int sent = 0;
  for (milliseconds t{0}; t < seconds(10); t += milliseconds(5)) {
    if (!MaySendCold(window, limit, kStart + t))
      continue;
    RecordSent(window, kStart + t);
    ++sent;
  }
  EXPECT_EQ(sent, 16);
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
