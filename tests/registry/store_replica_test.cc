#include "process/registry/store_replica.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

StoreItem Item(const std::string& key,
               uint64_t revision,
               bool deleted = false) {
  StoreItem item;
  item.key = key;
  item.value = key + "@" + std::to_string(revision);
  item.revision = revision;
  item.deleted = deleted;
  return item;
}

StoreReplica Loaded() {
  StoreReplica replica;
  StoreReload reload;
  reload.revision = 10;
  for (const auto& item : {Item("a", 3), Item("b", 7)})
    reload.items[item.key] = item;
  ApplyReload(replica, reload);
  return replica;
}

StoreChanges Changes(uint64_t after,
                     uint64_t up_to,
                     std::vector<StoreItem> items,
                     bool whole = false) {
  StoreChanges changes;
  changes.after = after;
  changes.up_to = up_to;
  changes.items = std::move(items);
  changes.whole = whole;
  return changes;
}

// Guards against a state that goes back to an older one.
TEST(StoreReplicaTest, OlderStateIsIgnored) {
  StoreReplica replica = Loaded();
  ApplyChanges(replica, Changes(10, 12, {Item("a", 12)}));
  EXPECT_TRUE(ApplyChanges(replica, Changes(5, 11, {Item("a", 11)})).empty());
  EXPECT_TRUE(
      ApplyChanges(replica, Changes(0, 9, {Item("a", 3)}, true)).empty());
  EXPECT_EQ(replica.items.at("a").revision, 12U);
  EXPECT_EQ(replica.revision, 12U);
}

// Guards against a whole copy for every follower after the store has lost its
// history, which kept a reader with 10 Mbit/s silent for two seconds, and
// against a follower that misses what the reload found deleted.
TEST(StoreReplicaTest, ReloadIsToldAsChanges) {
  StoreReplica replica = Loaded();
  ApplyChanges(replica, Changes(10, 12, {Item("c", 12)}));
  StoreReplica follower = Loaded();
  StoreReload reload;
  reload.revision = 20;
  for (const auto& item : {Item("b", 7), Item("c", 12), Item("d", 21)})
    reload.items[item.key] = item;
  ApplyReload(replica, reload);
  const StoreChanges told = ChangesAfter(replica, 10);
  EXPECT_FALSE(told.whole);
  EXPECT_EQ(told.items.size(), 3U);
  ApplyChanges(follower, told);
  EXPECT_EQ(follower.revision, 20U);
  ASSERT_EQ(follower.items.size(), 3U);
  EXPECT_EQ(follower.items.count("a"), 0U);
  EXPECT_EQ(follower.items.at("d").revision, 21U);
  EXPECT_TRUE(ChangesAfter(replica, 9).whole);
}

// Guards against changes that are lost in a gap without anyone noticing.
TEST(StoreReplicaTest, ChangesAfterAGapAreNotTaken) {
  StoreReplica replica = Loaded();
  const StoreChanges late = Changes(15, 16, {Item("a", 16)});
  EXPECT_FALSE(CanApply(replica, late));
  EXPECT_TRUE(ApplyChanges(replica, late).empty());
  EXPECT_EQ(replica.revision, 10U);
}

// Guards against an item that a whole copy no longer has, and that stays.
TEST(StoreReplicaTest, WholeCopyTellsDeletions) {
  StoreReplica replica = Loaded();
  const auto changed_items =
      ApplyChanges(replica, Changes(0, 20, {Item("b", 7)}, true));
  ASSERT_EQ(changed_items.size(), 1U);
  EXPECT_TRUE(changed_items[0].deleted);
  EXPECT_EQ(changed_items[0].key, "a");
  EXPECT_EQ(replica.items.count("a"), 0U);
}

// Guards against an item that was written while the pages were read, and that
// the copy drops: pages are not a snapshot.
TEST(StoreReplicaTest, PagesMayBeNewerThanTheFirst) {
  StoreReplica replica;
  StoreReload reload;
  StoreAnswer page;
  page.revision = 10;
  page.items = {Item("a", 3)};
  page.more = true;
  EXPECT_FALSE(AddPage(reload, page));
  EXPECT_EQ(reload.after_key, "a");
  page.revision = 12;
  page.items = {Item("b", 12)};
  page.more = false;
  EXPECT_TRUE(AddPage(reload, page));
  EXPECT_EQ(ApplyReload(replica, reload).size(), 2U);
  EXPECT_EQ(replica.revision, 10U);
  // The watch from the first page on repeats the later change.
  EXPECT_TRUE(ApplyChanges(replica, Changes(10, 12, {Item("b", 12)})).empty());
  EXPECT_EQ(replica.revision, 12U);
}

// Guards against a follower that gets changes which do not join on to its own.
TEST(StoreReplicaTest, FollowersGetWhatTheyLack) {
  StoreReplica replica = Loaded();
  ApplyChanges(replica, Changes(10, 12, {Item("a", 12)}));
  ApplyChanges(replica, Changes(12, 13, {Item("b", 13, true)}));
  const StoreChanges some = ChangesAfter(replica, 12);
  EXPECT_FALSE(some.whole);
  ASSERT_EQ(some.items.size(), 1U);
  EXPECT_TRUE(some.items[0].deleted);
  for (const uint64_t unknown : {uint64_t{0}, uint64_t{9}}) {
    const StoreChanges all = ChangesAfter(replica, unknown);
    EXPECT_TRUE(all.whole);
    EXPECT_EQ(all.items.size(), 1U);
  }
}

}  // namespace
}  // namespace mangodoor
