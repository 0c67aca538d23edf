#include <gtest/gtest.h>

#include <map>

#include "process/registry/feed.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kHeartbeatInterval{400};
constexpr milliseconds kMessageDelay{50};
// Time within which the users require that a withdrawn key stops working, and
// the part of it that an instance leaves for delays (fleet_process.cc).
constexpr milliseconds kRevocationLimit{5000};
constexpr milliseconds kAllowedError = kRevocationLimit / 20;
constexpr TimePoint kStart{seconds(1000)};
constexpr uint64_t kRevision = 7;

/** Copies at one revision, whose owners only exchange heartbeats. */
class StoreConfirmationTest : public testing::Test {
 protected:
  StoreConfirmationTest() {
    for (auto& [id, feed] : feeds_)
      feed.replica.revision = kRevision;
  }

  /** The first instance reads the store, which has no changes. */
  void FinishWatch(TimePoint now) {
    Feed& feed = feeds_[0];
    feed.reader.phase = FeedReader::Phase::kWatching;
    StoreAnswer answer;
    answer.kind = StoreAnswer::Kind::kItems;
    answer.revision = kRevision;
    FinishStoreRead(feed, {}, answer, now);
  }

  void SendHeartbeat(int from, int to, TimePoint now) {
    FleetHeartbeat heartbeat;
    FillFeedState(feeds_[from], now, heartbeat);
    HandleFeedHeartbeat(feeds_[to], {}, InstanceId(std::to_string(from)),
                        heartbeat, now + kMessageDelay);
  }

  std::map<int, Feed> feeds_ = [] {
    std::map<int, Feed> feeds;
    for (int i = 0; i < 4; ++i)
      feeds[i];
    return feeds;
  }();
};

// Guards against instances that keep each other's copies current after the last
// read: the time that a message takes is not part of the age that it states.
TEST_F(StoreConfirmationTest, CopiesAgeWithoutReads) {
  FinishWatch(kStart);
  for (TimePoint now = kStart; now < kStart + 2 * kRevocationLimit;
       now += kHeartbeatInterval) {
    for (const auto& [from, sender] : feeds_) {
      for (const auto& [to, receiver] : feeds_) {
        if (from != to)
          SendHeartbeat(from, to, now);
      }
    }
  }
  for (const auto& [id, feed] : feeds_) {
    ASSERT_TRUE(ConfirmedAt(feed)) << id;
    EXPECT_LE(*ConfirmedAt(feed), kStart + kAllowedError) << id;
  }
}

// Guards against copies that count as old although another instance reads the
// store: each hears of it only through the one before it.
TEST_F(StoreConfirmationTest, ReadsAreHeardOfThroughOthers) {
  for (int second = 0; second < 10; ++second) {
    const TimePoint now = kStart + seconds(second);
    FinishWatch(now);
    for (int from = 0; from + 1 < static_cast<int>(feeds_.size()); ++from) {
      SendHeartbeat(from, from + 1, now + from * kHeartbeatInterval);
      SendHeartbeat(from + 1, from, now + from * kHeartbeatInterval);
    }
    for (const auto& [id, feed] : feeds_) {
      ASSERT_TRUE(ConfirmedAt(feed)) << id;
      EXPECT_GE(*ConfirmedAt(feed), now) << id;
    }
  }
}

}  // namespace
}  // namespace mangodoor
