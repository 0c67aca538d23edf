#include "process/registry/feed.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(1000 + ms));
}

ReaderInputs InputsAt(int ms, bool lower_rank_reads) {
  ReaderInputs inputs;
  inputs.now = At(ms);
  inputs.rank = 1;
  inputs.lower_rank_reads = lower_rank_reads;
  inputs.revision = 7;
  return inputs;
}

/** A reader that has just finished a watch without changes. */
FeedReader ReaderAfterWatch() {
  FeedReader reader;
  PlanRead(reader, InputsAt(0, false));
  PlanRead(reader, InputsAt(400, false));
  FinishRead(reader, StoreAnswer::Kind::kItems, false, At(500));
  return reader;
}

// Guards against an instance that still reports to its peers that it reads the
// store, although another one has taken over.
TEST(FeedReaderTest, ReplacedReaderDoesNotReportReading) {
  FeedReader reader = ReaderAfterWatch();
  EXPECT_EQ(PlanRead(reader, InputsAt(600, true)).kind, ReadStart::Kind::kNone);
  EXPECT_FALSE(IsReading(reader));
}

// Guards against a reader that reports between two reads that it has stopped.
TEST(FeedReaderTest, PauseBetweenReadsCountsAsReading) {
  FeedReader reader = ReaderAfterWatch();
  EXPECT_TRUE(IsReading(reader));
  EXPECT_EQ(PlanRead(reader, InputsAt(600, false)).kind,
            ReadStart::Kind::kWatch);
  FinishRead(reader, StoreAnswer::Kind::kItems, true, At(700));
  EXPECT_EQ(PlanRead(reader, InputsAt(800, false)).kind,
            ReadStart::Kind::kNone);
  EXPECT_TRUE(IsReading(reader));
}

// Guards against a reload after a compaction that goes on with stale pages:
// their copy can be older than what the store has compacted, and the watch from
// it would fail again.
TEST(FeedReaderTest, AllPagesOfAReloadHaveOneConsistency) {
  for (const bool compacted : {false, true}) {
    Feed feed;
    feed.reader.needs_reload = compacted;
    const ReadStart first = TickFeed(feed, {}, At(0)).read;
    ASSERT_EQ(first.kind, ReadStart::Kind::kPage);
    EXPECT_EQ(first.consistency, compacted ? ReadConsistency::kCurrent
                                           : ReadConsistency::kMayBeStale);
    StoreAnswer page;
    page.kind = StoreAnswer::Kind::kItems;
    page.revision = 7;
    page.more = true;
    page.items.resize(1);
    page.items[0].key = "a";
    const ReadStart second =
        FinishStoreRead(feed, {}, std::move(page), At(10)).read;
    EXPECT_EQ(second.after_key, "a");
    EXPECT_EQ(second.consistency, first.consistency);
  }
}

// Guards against a watch that is sent again although its answer is larger than
// what is accepted, and gets the same answer until the store forgets it
// (review/2); and against reloads without a pause if every watch ends like
// this.
TEST(FeedReaderTest, UnusableWatchIsFollowedByAReload) {
  FeedReader reader = ReaderAfterWatch();
  int now = 600;
  Duration last_delay{};
  for (int i = 0; i < 3; ++i) {
    const ReadStart watch = PlanRead(reader, InputsAt(now, false));
    ASSERT_EQ(watch.kind, ReadStart::Kind::kWatch);
    FinishRead(reader, StoreAnswer::Kind::kUnusable, false, At(now));
    EXPECT_TRUE(IsReading(reader));
    const Duration delay = *reader.not_before - At(now);
    EXPECT_GT(delay, last_delay);
    last_delay = delay;
    now += 2000;
    const ReadStart page = PlanRead(reader, InputsAt(now, false));
    EXPECT_EQ(page.kind, ReadStart::Kind::kPage);
    EXPECT_EQ(page.consistency, ReadConsistency::kCurrent);
    FinishRead(reader, StoreAnswer::Kind::kItems, false, At(now));
  }
}

// Guards against a retry delay that is lost while another instance reads.
TEST(FeedReaderTest, RetryDelayIsKeptWhileAnotherReads) {
  FeedReader reader = ReaderAfterWatch();
  PlanRead(reader, InputsAt(600, false));
  FinishRead(reader, StoreAnswer::Kind::kUnavailable, false, At(700));
  const auto retry_at = reader.not_before;
  ASSERT_TRUE(retry_at);
  PlanRead(reader, InputsAt(750, true));
  EXPECT_EQ(reader.not_before, retry_at);
}

}  // namespace
}  // namespace mangodoor
