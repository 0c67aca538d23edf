#include "version/utc_time.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against planned changes that come into force at the wrong time.
TEST(UtcTimeTest, KnownTimes) {
  EXPECT_EQ(ParseUtcTime("1970-01-01T00:00:00Z"), WallTime());
  EXPECT_EQ(ParseUtcTime("2000-02-29T12:00:00Z"), WallTime(seconds(951825600)));
  EXPECT_EQ(ParseUtcTime("2026-12-04T10:00:00.25Z"),
            WallTime(seconds(1796378400) + milliseconds(250)));
  EXPECT_EQ(FormatUtcTime(WallTime(seconds(1796378400) + milliseconds(250))),
            "2026-12-04T10:00:00.25Z");
}

// Guards against invalid text that is read as a time.
TEST(UtcTimeTest, InvalidTimesAreRejected) {
  for (const char* text : {"",
                           "Z",
                           "2026-12-04",
                           "2026-12-04T10:00:00",
                           "2026-12-04 10:00:00Z",
                           "2026-13-04T10:00:00Z",
                           "2026-12-32T10:00:00Z",
                           "2026-12-00T10:00:00Z",
                           "2026-02-29T10:00:00Z",
                           "2100-02-29T10:00:00Z",
                           "2026-12-04T24:00:00Z",
                           "2026-12-04T10:60:00Z",
                           "2026-12-04T10:00:60Z",
                           "2026-12-04T10:00:00.Z",
                           "2026-12-04T10:00:00.1234567890Z",
                           "2026-12-04T10:00:00+00:00",
                           "1969-12-31T23:59:59Z",
                           "2200-01-01T00:00:00Z",
                           "-026-12-04T10:00:00Z",
                           "2026-1x-04T10:00:00Z",
                           "2026-12-04T10:00:00.0-Z"}) {
    EXPECT_FALSE(ParseUtcTime(text)) << text;
  }
}

}  // namespace
}  // namespace mangodoor
