#include "process/registry/feed_restoration.h"

#include <utility>

namespace mangodoor {
namespace {

/** True if the store was restored between the replica's state and this one. */
bool IsRestored(const StoreReplica& replica, const StoreRevision& state) {
  return replica.revision != StoreRevision() &&
         state.era > replica.revision.era;
}

/** The items that are newer than the revision. */
std::vector<StoreItem> ItemsAfter(const std::vector<StoreItem>& items,
                                  const StoreRevision& revision) {
  std::vector<StoreItem> newer;
  for (const StoreItem& item : items) {
    if (item.revision > revision)
      newer.push_back(item);
  }
  return newer;
}

/**
 * Applies `items` by `apply`, which returns those that are new to the replica
 * and brings it to `up_to`. If the store was restored before that, what it
 * lacks stays in force.
 */
template <typename Apply>
std::vector<StoreItem> ApplyAndCarry(Feed& feed,
                                     const std::vector<StoreItem>& items,
                                     const StoreRevision& up_to,
                                     const Apply& apply,
                                     TimePoint now,
                                     FeedActions& actions) {
  if (IsRestored(feed.replica, up_to)) {
    const StoreReplica before = feed.replica;
    CarryResult result = CarryOver(
        feed.carried, {before, feed.replica, apply()}, feed.lapses_alone, now);
    if (result.complete)
      feed.carried_era = up_to.era;
    actions.restored =
        RestorationSummary{before.revision, up_to, feed.carried.size()};
    return std::move(result.changed_items);
  }
  if (feed.carried.empty())
    return apply();
  const std::vector<StoreItem> written =
      ItemsAfter(items, feed.replica.revision);
  std::vector<StoreItem> changed_items = apply();
  DropWritten(feed.carried, written, changed_items);
  return changed_items;
}

/** The era of the state that the running read continues. */
uint64_t EraOfRead(const Feed& feed) {
  const FeedReader& reader = feed.reader;
  if (reader.phase == FeedReader::Phase::kWatching)
    return reader.watched_from.era;
  return reader.reload.pages > 0 ? reader.reload.revision.era
                                 : feed.replica.revision.era;
}

}  // namespace

void CompleteEra(const StoreReplica& replica, StoreAnswer& answer) {
  if (answer.names_era)
    return;
  answer.revision.era = replica.revision.era;
  for (StoreItem& item : answer.items)
    item.revision.era = replica.revision.era;
}

StoreAnswer::Kind KindOf(const Feed& feed, const StoreAnswer& answer) {
  if (answer.kind != StoreAnswer::Kind::kItems)
    return answer.kind;
  const uint64_t era = answer.revision.era;
  if (era < feed.replica.revision.era)
    return StoreAnswer::Kind::kUnavailable;
  const bool is_first_page =
      feed.reader.phase == FeedReader::Phase::kReloading &&
      feed.reader.reload.pages == 0;
  return is_first_page || era == EraOfRead(feed)
             ? StoreAnswer::Kind::kItems
             : StoreAnswer::Kind::kCompacted;
}

std::vector<StoreItem> ApplyStoreReload(Feed& feed,
                                        const StoreReload& reload,
                                        TimePoint now,
                                        FeedActions& actions) {
  return ApplyAndCarry(
      feed, {}, reload.revision,
      [&] { return ApplyReload(feed.replica, reload); }, now, actions);
}

std::vector<StoreItem> ApplyStoreChanges(Feed& feed,
                                         const StoreChanges& changes,
                                         TimePoint now,
                                         FeedActions& actions) {
  return ApplyAndCarry(
      feed, changes.items, changes.up_to,
      [&] { return ApplyChanges(feed.replica, changes); }, now, actions);
}

void AddCarriedTo(const Feed& feed, TimePoint now, FeedUpdate& update) {
  if (feed.carried_era == feed.replica.revision.era)
    update.carried = NoticesOf(feed.carried, now);
}

void AddCarriedByPeer(Feed& feed,
                      const FeedUpdate& update,
                      TimePoint now,
                      FeedActions& actions) {
  if (!update.carried || update.changes.up_to.era != feed.replica.revision.era)
    return;
  feed.carried_era = feed.replica.revision.era;
  for (StoreItem& item :
       AddCarried(feed.carried, {*update.carried, update.changes.up_to},
                  feed.replica, now))
    actions.changed_items.push_back(std::move(item));
}

}  // namespace mangodoor
