#include <gtest/gtest.h>

#include <random>
#include <string>

#include "process/peers/io/peer_codec.h"
#include "process/registry/io/feed_patches.h"
#include "process/registry/io/patch_codec.h"

namespace mangodoor {
namespace {

constexpr char kKey[] = "op/config";
constexpr size_t kValueBytes = 1024 * 1024;

/** A text of random numbers, which hardly compresses, with one line added. */
std::string MakeValue(const std::string& line) {
  std::minstd_rand random(1);
  std::string text;
  while (text.size() < kValueBytes)
    text += std::to_string(random()) + "\n";
  return text.insert(text.size() / 3, line);
}

StoreItem MakeItem(const std::string& value, uint64_t revision) {
  StoreItem item;
  item.key = kKey;
  item.value = value;
  item.revision = revision;
  return item;
}

StoreAnswer MakeAnswer(uint64_t revision, std::vector<StoreItem> items) {
  StoreAnswer answer;
  answer.kind = StoreAnswer::Kind::kItems;
  answer.items = std::move(items);
  answer.revision = revision;
  return answer;
}

/** Reads an answer of the store as an instance does. */
void Read(Feed& feed, StoreAnswer answer) {
  if (feed.reader.phase == FeedReader::Phase::kIdle)
    TickFeed(feed, {}, TimePoint(std::chrono::hours(answer.revision.number)));
  AddPatches(feed, answer.items);
  FinishStoreRead(feed, {}, std::move(answer), TimePoint());
}

/** The update that an instance sends for a request, as it arrives. */
FeedUpdate Answer(const Feed& feed, const FeedRequest& request) {
  const FeedActions actions =
      HandleFeedRequest(feed, InstanceId("follower"), request, TimePoint());
  return std::get<FeedUpdate>(
      DecodePeerMessage(EncodePeerMessage(actions.messages.at(0).message)));
}

std::string ValueIn(const Feed& feed) {
  return feed.replica.items.at(kKey).value;
}

/** An instance that has read these values, with revisions from 1 on. */
void ReadAll(Feed& feed, const std::vector<std::string>& values) {
  uint64_t revision = 0;
  for (const std::string& value : values) {
    ++revision;
    Read(feed, MakeAnswer(revision, {MakeItem(value, revision)}));
  }
}

// Guards against patches that are as large as the value where its parts have
// no repetition.
TEST(PatchCodecTest, ChangeOfALargeValueIsSmall) {
  const std::string base = MakeValue("old");
  const std::string value = MakeValue("new line");
  const auto patch = EncodePatch(base, value);
  ASSERT_TRUE(patch);
  EXPECT_LT(patch->size(), 1024U);
  EXPECT_EQ(DecodePatch(base, *patch), value);
}

// Guards against a value that results from another base than the sender's.
TEST(PatchCodecTest, PatchOfAnotherBaseIsRefused) {
  const std::string base = MakeValue("old");
  const auto patch = EncodePatch(base, MakeValue("new"));
  ASSERT_TRUE(patch);
  std::string other = base;
  other[other.size() / 2] ^= 1;
  EXPECT_FALSE(DecodePatch(other, *patch));
  EXPECT_FALSE(DecodePatch("", *patch));
}

// Guards against bytes of a peer that take memory without a limit.
TEST(PatchCodecTest, InvalidAndOversizedPatchesAreRefused) {
  EXPECT_FALSE(DecodePatch("", "no patch"));
  EXPECT_FALSE(DecodePatch("", ""));
  const auto bomb = EncodePatch("", std::string(kMaxPatchedBytes + 1, 'x'));
  ASSERT_TRUE(bomb);
  EXPECT_FALSE(DecodePatch("", *bomb));
}

// Guards against followers that are sent a whole large value for each change.
TEST(ValuePatchTest, FollowersGetOnlyWhatChanged) {
  Feed reader;
  ReadAll(reader, {MakeValue("1"), MakeValue("2"), MakeValue("3")});
  Feed follower;
  ReadAll(follower, {MakeValue("1")});
  FeedUpdate update = Answer(reader, {1, FeedEncoding::kPatched});
  EXPECT_LT(EncodePeerMessage(update).size(), 2048U);
  ASSERT_TRUE(ExpandPatches(follower, update.changes));
  HandleFeedUpdate(follower, {}, InstanceId("reader"), update, TimePoint());
  EXPECT_EQ(ValueIn(follower), MakeValue("3"));
  EXPECT_EQ(FeedRevision(follower), 3U);
}

// Guards against a follower that passes on whole values, or wrong patches,
// after it got patches itself.
TEST(ValuePatchTest, FollowersPassPatchesOn) {
  Feed reader;
  ReadAll(reader, {MakeValue("1"), MakeValue("2"), MakeValue("3")});
  Feed hub;
  ReadAll(hub, {MakeValue("1"), MakeValue("2")});
  FeedUpdate update = Answer(reader, {2, FeedEncoding::kPatched});
  ASSERT_TRUE(ExpandPatches(hub, update.changes));
  HandleFeedUpdate(hub, {}, InstanceId("reader"), update, TimePoint());
  Feed follower;
  ReadAll(follower, {MakeValue("1")});
  FeedUpdate passed_on = Answer(hub, {1, FeedEncoding::kPatched});
  EXPECT_LT(EncodePeerMessage(passed_on).size(), 2048U);
  ASSERT_TRUE(ExpandPatches(follower, passed_on.changes));
  HandleFeedUpdate(follower, {}, InstanceId("hub"), passed_on, TimePoint());
  EXPECT_EQ(ValueIn(follower), MakeValue("3"));
}

// Guards against a copy that stays behind since the patches that it gets do not
// apply to its value: its sender did not see a version that it has.
TEST(ValuePatchTest, WholeValueIsRequestedWhereNoPatchApplies) {
  Feed reader;
  ReadAll(reader, {MakeValue("1")});
  Read(reader, MakeAnswer(3, {MakeItem(MakeValue("2"), 2),
                              MakeItem(MakeValue("3"), 3)}));
  Feed follower;
  ReadAll(follower, {MakeValue("1"), MakeValue("2")});
  FeedUpdate update = Answer(reader, {2, FeedEncoding::kPatched});
  ASSERT_FALSE(ExpandPatches(follower, update.changes));
  const FeedActions actions =
      RequestWholeValues(follower, InstanceId("reader"), update, TimePoint());
  ASSERT_EQ(actions.messages.size(), 1U);
  const auto& request = std::get<FeedRequest>(actions.messages[0].message);
  EXPECT_EQ(request.encoding, FeedEncoding::kPacked);
  FeedUpdate whole = Answer(reader, request);
  ASSERT_TRUE(ExpandPatches(follower, whole.changes));
  HandleFeedUpdate(follower, {}, InstanceId("reader"), whole, TimePoint());
  EXPECT_EQ(ValueIn(follower), MakeValue("3"));
}

// Guards against instances of earlier versions that are sent patches, and take
// the missing value for an empty one.
TEST(ValuePatchTest, EarlierVersionsGetPlainValues) {
  Feed reader;
  ReadAll(reader, {MakeValue("1"), MakeValue("2")});
  const FeedUpdate update = Answer(reader, {1, FeedEncoding::kPlain});
  EXPECT_GT(EncodePeerMessage(update).size(), kValueBytes);
  ASSERT_EQ(update.changes.items.size(), 1U);
  EXPECT_EQ(update.changes.items[0].value, MakeValue("2"));
}

}  // namespace
}  // namespace mangodoor
