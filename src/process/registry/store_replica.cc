#include "process/registry/store_replica.h"

#include <algorithm>
#include <utility>

namespace mangodoor {
namespace {

// Followers that lag by more changes than this get a whole copy.
constexpr size_t kMaxRecent = 512;

/** Keeps one change; false if the replica has this or a later one. */
bool ApplyItem(StoreReplica& replica, const StoreItem& item) {
  const auto known = replica.items.find(item.key);
  if (known != replica.items.end() && known->second.revision >= item.revision)
    return false;
  if (!item.deleted) {
    replica.items[item.key] = item;
    return true;
  }
  if (known == replica.items.end())
    return false;
  replica.items.erase(known);
  return true;
}

void Remember(StoreReplica& replica, const StoreItem& item) {
  replica.recent.push_back({item.key, item.revision});
  while (replica.recent.size() > kMaxRecent) {
    // A reload may leave changes out of order by a few.
    replica.recent_after =
        std::max(replica.recent_after, replica.recent.front().revision);
    replica.recent.pop_front();
  }
}

/** The item, or its deletion. */
StoreItem StateOf(const StoreReplica& replica,
                  const std::string& key,
                  uint64_t changed_at) {
  const auto known = replica.items.find(key);
  if (known != replica.items.end())
    return known->second;
  StoreItem deletion;
  deletion.key = key;
  deletion.revision = changed_at;
  deletion.deleted = true;
  return deletion;
}

/** Items of the replica that a whole copy at `revision` no longer has. */
std::vector<StoreItem> MissingFrom(
    const StoreReplica& replica,
    const std::map<std::string, StoreItem>& whole,
    uint64_t revision) {
  std::vector<StoreItem> missing;
  for (const auto& [key, item] : replica.items) {
    if (whole.count(key) > 0 || item.revision > revision)
      continue;
    StoreItem deletion;
    deletion.key = key;
    deletion.revision = revision;
    deletion.deleted = true;
    missing.push_back(std::move(deletion));
  }
  return missing;
}

// Followers that had what the replica had need only the difference: a whole
// copy to each of them would fill the link of a small instance for seconds.
void RememberReload(StoreReplica& replica,
                    std::vector<StoreItem> changed_items,
                    uint64_t revision) {
  if (replica.revision == 0) {
    replica.recent.clear();
    replica.recent_after = revision;
    return;
  }
  std::sort(changed_items.begin(), changed_items.end(),
            [](const StoreItem& a, const StoreItem& b) {
              return a.revision < b.revision;
            });
  for (const StoreItem& item : changed_items)
    Remember(replica, item);
}

std::vector<StoreItem> ApplyWhole(StoreReplica& replica,
                                  const std::map<std::string, StoreItem>& whole,
                                  uint64_t revision) {
  std::vector<StoreItem> changed_items;
  for (const StoreItem& deletion : MissingFrom(replica, whole, revision)) {
    replica.items.erase(deletion.key);
    changed_items.push_back(deletion);
  }
  for (const auto& [key, item] : whole) {
    if (ApplyItem(replica, item))
      changed_items.push_back(item);
  }
  RememberReload(replica, changed_items, revision);
  replica.revision = revision;
  return changed_items;
}

}  // namespace

bool AddPage(StoreReload& reload, StoreAnswer page) {
  if (std::exchange(reload.first, false))
    reload.revision = page.revision;
  if (!page.items.empty())
    reload.after_key = page.items.back().key;
  const bool last = !page.more || page.items.empty();
  for (StoreItem& item : page.items) {
    std::string key = item.key;
    reload.items[std::move(key)] = std::move(item);
  }
  return last;
}

std::vector<StoreItem> ApplyReload(StoreReplica& replica, StoreReload reload) {
  if (reload.revision < replica.revision)
    return {};
  return ApplyWhole(replica, reload.items, reload.revision);
}

bool CanApply(const StoreReplica& replica, const StoreChanges& changes) {
  if (changes.up_to < replica.revision)
    return false;
  return changes.whole ||
         (replica.revision > 0 && changes.after <= replica.revision);
}

std::vector<StoreItem> ApplyChanges(StoreReplica& replica,
                                    const StoreChanges& changes) {
  if (!CanApply(replica, changes))
    return {};
  if (changes.whole) {
    std::map<std::string, StoreItem> whole;
    for (const StoreItem& item : changes.items)
      whole[item.key] = item;
    return ApplyWhole(replica, whole, changes.up_to);
  }
  std::vector<StoreItem> changed_items;
  for (const StoreItem& item : changes.items) {
    if (item.revision <= replica.revision)
      continue;
    if (ApplyItem(replica, item))
      changed_items.push_back(item);
    Remember(replica, item);
  }
  replica.revision = std::max(replica.revision, changes.up_to);
  return changed_items;
}

StoreChanges ChangesAfter(const StoreReplica& replica, uint64_t revision) {
  StoreChanges changes;
  changes.up_to = replica.revision;
  changes.after = revision;
  changes.whole = revision == 0 || revision < replica.recent_after;
  if (changes.whole) {
    changes.after = 0;
    for (const auto& [key, item] : replica.items)
      changes.items.push_back(item);
    return changes;
  }
  // The latest state of each key is all that a follower needs.
  std::map<std::string, uint64_t> changed;
  for (const RecentChange& change : replica.recent) {
    if (change.revision > revision)
      changed[change.key] = change.revision;
  }
  for (const auto& [key, changed_at] : changed)
    changes.items.push_back(StateOf(replica, key, changed_at));
  return changes;
}

}  // namespace mangodoor
