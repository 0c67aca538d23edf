#include "process/registry/store_replica.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

StoreItem MakeItem(const std::string& key,
                   uint64_t revision,
                   bool deleted = false) {
  StoreItem item;
  item.key = key;
  item.value = key + "@" + std::to_string(revision);
  item.revision = revision;
  item.deleted = deleted;
  return item;
}

StoreAnswer MakePage(uint64_t revision,
                     std::vector<StoreItem> items,
                     bool more = false) {
  StoreAnswer page;
  page.revision = revision;
  page.items = std::move(items);
  page.more = more;
  return page;
}

/** A reload of one page. */
StoreReload MakeReload(uint64_t revision, std::vector<StoreItem> items) {
  StoreReload reload;
  AddPage(reload, MakePage(revision, std::move(items)));
  return reload;
}

StoreReplica LoadedReplica() {
  StoreReplica replica;
  ApplyReload(replica, MakeReload(10, {MakeItem("a", 3), MakeItem("b", 7)}));
  return replica;
}

StoreChanges MakeChanges(uint64_t after,
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

// Guards against a replica that goes back to an older state.
TEST(StoreReplicaTest, OlderStateIsIgnored) {
  StoreReplica replica = LoadedReplica();
  ApplyChanges(replica, MakeChanges(10, 12, {MakeItem("a", 12)}));
  EXPECT_TRUE(
      ApplyChanges(replica, MakeChanges(5, 11, {MakeItem("a", 11)})).empty());
  EXPECT_TRUE(ApplyChanges(replica, MakeChanges(0, 9, {MakeItem("a", 3)}, true))
                  .empty());
  EXPECT_EQ(replica.items.at("a").revision, 12U);
  EXPECT_EQ(replica.revision, 12U);
}

// Guards against a full copy for every follower after the store compacted its
// history, which blocked a reader with a 10 Mbit/s link for two seconds, and
// against a follower that misses deletions found by the reload.
TEST(StoreReplicaTest, ReloadIsForwardedAsChanges) {
  StoreReplica replica = LoadedReplica();
  ApplyChanges(replica, MakeChanges(10, 12, {MakeItem("c", 12)}));
  StoreReplica follower = LoadedReplica();
  ApplyReload(replica, MakeReload(20, {MakeItem("b", 7), MakeItem("c", 12),
                                       MakeItem("d", 21)}));
  const StoreChanges changes = ChangesAfter(replica, 10);
  EXPECT_FALSE(changes.whole);
  EXPECT_EQ(changes.items.size(), 3U);
  ApplyChanges(follower, changes);
  EXPECT_EQ(follower.revision, 20U);
  ASSERT_EQ(follower.items.size(), 3U);
  EXPECT_EQ(follower.items.count("a"), 0U);
  EXPECT_EQ(follower.items.at("d").revision, 21U);
  EXPECT_TRUE(ChangesAfter(replica, 9).whole);
}

// Guards against changes that are lost unnoticed in a gap between updates.
TEST(StoreReplicaTest, ChangesAfterAGapAreRejected) {
  StoreReplica replica = LoadedReplica();
  const StoreChanges late = MakeChanges(15, 16, {MakeItem("a", 16)});
  EXPECT_FALSE(CanApply(replica, late));
  EXPECT_TRUE(ApplyChanges(replica, late).empty());
  EXPECT_EQ(replica.revision, 10U);
}

// Guards against an item that stays although a full copy no longer has it.
TEST(StoreReplicaTest, FullCopyReportsDeletions) {
  StoreReplica replica = LoadedReplica();
  const auto changed_items =
      ApplyChanges(replica, MakeChanges(0, 20, {MakeItem("b", 7)}, true));
  ASSERT_EQ(changed_items.size(), 1U);
  EXPECT_TRUE(changed_items[0].deleted);
  EXPECT_EQ(changed_items[0].key, "a");
  EXPECT_EQ(replica.items.count("a"), 0U);
}

// Guards against losing an item that was written while the pages were read: the
// pages are not a snapshot.
TEST(StoreReplicaTest, LaterPagesCanBeNewerThanTheFirst) {
  StoreReplica replica;
  StoreReload reload;
  EXPECT_FALSE(AddPage(reload, MakePage(10, {MakeItem("a", 3)}, true)));
  EXPECT_EQ(reload.after_key, "a");
  EXPECT_TRUE(AddPage(reload, MakePage(12, {MakeItem("b", 12)})));
  EXPECT_EQ(ApplyReload(replica, reload).size(), 2U);
  EXPECT_EQ(replica.revision, 10U);
  // The watch from the first page's revision returns the later change again.
  EXPECT_TRUE(
      ApplyChanges(replica, MakeChanges(10, 12, {MakeItem("b", 12)})).empty());
  EXPECT_EQ(replica.revision, 12U);
}

// Guards against a change that is lost for good because it lies between the
// revisions of two pages of one full read, the later of which was staler.
TEST(StoreReplicaTest, LaterPagesCanBeOlderThanTheFirst) {
  StoreReplica replica;
  StoreReload reload;
  AddPage(reload, MakePage(12, {MakeItem("a", 12)}, true));
  // "b" changed at 11, "c" was deleted at 11 and "d" was added at 11.
  ASSERT_TRUE(
      AddPage(reload, MakePage(10, {MakeItem("b", 4), MakeItem("c", 5)})));
  ApplyReload(replica, reload);
  EXPECT_EQ(replica.revision, 10U);
  const auto changed_items = ApplyChanges(
      replica, MakeChanges(10, 12,
                           {MakeItem("b", 11), MakeItem("c", 11, true),
                            MakeItem("d", 11), MakeItem("a", 12)}));
  EXPECT_EQ(changed_items.size(), 3U);
  EXPECT_EQ(replica.items.at("b").revision, 11U);
  EXPECT_EQ(replica.items.count("c"), 0U);
  EXPECT_EQ(replica.items.count("d"), 1U);
  EXPECT_EQ(replica.revision, 12U);
}

/** A replica that has reloaded the store, at 10 before and at 20 after. */
StoreReplica ReloadedReplica() {
  StoreReplica replica = LoadedReplica();
  ApplyReload(replica, MakeReload(20, {MakeItem("a", 3), MakeItem("b", 17)}));
  return replica;
}

// Guards against a key that was added and deleted while the store's history was
// compacted: the instance that reloaded the store never saw it, and a follower
// that did, from another reader, kept it for ever.
TEST(StoreReplicaTest, ReloadIsNoDifferenceForFollowersInBetween) {
  const StoreReplica replica = ReloadedReplica();
  StoreReplica follower = LoadedReplica();
  ApplyChanges(follower, MakeChanges(10, 15, {MakeItem("c", 12)}));
  // The difference that the follower gets if its last message was overtaken.
  EXPECT_TRUE(ApplyChanges(follower, ChangesAfter(replica, 10)).empty());
  EXPECT_EQ(follower.revision, 15U);
  ApplyChanges(follower, ChangesAfter(replica, 15));
  EXPECT_EQ(follower.items.count("c"), 0U);
  EXPECT_EQ(follower.revision, 20U);
  EXPECT_FALSE(ChangesAfter(replica, 10).whole);
}

// Guards against the same fault one instance further: a follower passes on a
// difference that others cannot use.
TEST(StoreReplicaTest, FollowersPassOnWhatTheyKnowByComparison) {
  StoreReplica follower = LoadedReplica();
  ApplyChanges(follower, ChangesAfter(ReloadedReplica(), 10));
  EXPECT_EQ(follower.revision, 20U);
  EXPECT_TRUE(ChangesAfter(follower, 15).whole);
}

// Guards against a key that a newer page no longer had, so that the instance
// cannot tell others of its deletion when it reloads the store.
TEST(StoreReplicaTest, ReloadOfACopyOfMixedAgeIsNoDifference) {
  StoreReplica replica;
  StoreReload mixed;
  AddPage(mixed, MakePage(10, {MakeItem("a", 3)}, true));
  AddPage(mixed, MakePage(14, {}));
  ApplyReload(replica, mixed);
  // "b" existed until 12, which the newer page showed.
  StoreReplica follower = LoadedReplica();
  ApplyReload(replica, MakeReload(20, {MakeItem("a", 3)}));
  ApplyChanges(follower, ChangesAfter(replica, 10));
  EXPECT_EQ(follower.items.count("b"), 0U);
}

// Guards against a follower that gets changes with a gap after its own.
TEST(StoreReplicaTest, FollowersGetMissingChanges) {
  StoreReplica replica = LoadedReplica();
  ApplyChanges(replica, MakeChanges(10, 12, {MakeItem("a", 12)}));
  ApplyChanges(replica, MakeChanges(12, 13, {MakeItem("b", 13, true)}));
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
