#include "process/registry/store_replica.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace mangodoor {
namespace {

// Followers that lag by more changes than this get a full copy.
constexpr size_t kMaxRecentChanges = 512;

// A follower that lacks more than these gets the whole value.
constexpr size_t kMaxPatches = 64;
// All patches of a value have at most one part in this many of its length.
constexpr size_t kValueToPatchesRatio = 4;

void TrimPatches(std::deque<ValuePatch>& patches, size_t max_bytes) {
  size_t bytes = 0;
  for (const ValuePatch& patch : patches)
    bytes += patch.bytes.size();
  while (!patches.empty() &&
         (bytes > max_bytes || patches.size() > kMaxPatches)) {
    bytes -= patches.front().bytes.size();
    patches.pop_front();
  }
}

/** Keeps the patches of an item that replaces the one at `known_revision`. */
void RecordPatches(StoreReplica& replica,
                   const StoreItem& item,
                   uint64_t known_number) {
  const auto first = std::find_if(
      item.patches.begin(), item.patches.end(),
      [&](const ValuePatch& patch) { return patch.base == known_number; });
  if (first == item.patches.end() ||
      item.patches.back().revision != item.revision.number) {
    replica.patches.erase(item.key);
    return;
  }
  std::deque<ValuePatch>& patches = replica.patches[item.key];
  if (!patches.empty() && patches.back().revision != known_number)
    patches.clear();
  patches.insert(patches.end(), first, item.patches.end());
  TrimPatches(patches, item.value.size() / kValueToPatchesRatio);
}

/** True if the restored store has the item as it was. */
bool HasSameState(const StoreItem& known, const StoreItem& item) {
  return known.revision.era < item.revision.era && !item.deleted &&
         known.revision.number == item.revision.number &&
         known.value == item.value;
}

/** The state of the key in the replica. */
ItemState KnownState(const StoreReplica& replica, const std::string& key) {
  const auto known = replica.items.find(key);
  return known == replica.items.end() ? ItemState() : StateOf(known->second);
}

/**
 * Applies one change. Returns false if the replica has this or a later change
 * of the item, or if the change deletes an unknown item.
 */
bool ApplyItem(StoreReplica& replica, const StoreItem& item) {
  const auto known = replica.items.find(item.key);
  if (known != replica.items.end() &&
      (known->second.revision >= item.revision ||
       HasSameState(known->second, item)))
    return false;
  if (!item.deleted) {
    RecordPatches(
        replica, item,
        known == replica.items.end() ? 0 : known->second.revision.number);
    StoreItem& kept = replica.items[item.key];
    kept = item;
    kept.patches.clear();
    return true;
  }
  if (known == replica.items.end())
    return false;
  replica.items.erase(known);
  replica.patches.erase(item.key);
  return true;
}

void AddRecentChange(StoreReplica& replica,
                     const StoreItem& item,
                     const ItemState& replaced) {
  replica.recent.push_back({item.key, item.revision, replaced});
  while (replica.recent.size() > kMaxRecentChanges) {
    // After a reload, `recent` is not strictly ordered by revision.
    replica.recent_after =
        std::max(replica.recent_after, replica.recent.front().revision);
    replica.recent.pop_front();
  }
}

/** The item with this key, or its deletion at `changed_at`. */
StoreItem CurrentState(const StoreReplica& replica,
                       const std::string& key,
                       const StoreRevision& changed_at) {
  const auto known = replica.items.find(key);
  if (known != replica.items.end())
    return known->second;
  StoreItem deletion;
  deletion.key = key;
  deletion.revision = changed_at;
  deletion.deleted = true;
  return deletion;
}

/**
 * Gives the item as patches if these cover all of its changes after `revision`.
 * A receiver that has a part of these changes uses the rest.
 */
void ReplaceValueByPatches(const StoreReplica& replica,
                           const StoreRevision& revision,
                           StoreItem& item) {
  const auto known = replica.patches.find(item.key);
  if (known == replica.patches.end() || revision.era != replica.revision.era)
    return;
  const std::deque<ValuePatch>& patches = known->second;
  const auto first = std::find_if(
      patches.begin(), patches.end(),
      [&](const ValuePatch& p) { return p.revision > revision.number; });
  if (first == patches.end() || first->base > revision.number)
    return;
  item.patches.assign(first, patches.end());
  item.value.clear();
}

/** Deletions of the items that a full copy at `revision` no longer has. */
std::vector<StoreItem> DeletionsIn(
    const StoreReplica& replica,
    const std::map<std::string, StoreItem>& full_copy,
    const StoreRevision& revision) {
  std::vector<StoreItem> missing;
  for (const auto& [key, item] : replica.items) {
    if (full_copy.count(key) > 0 || item.revision > revision)
      continue;
    StoreItem deletion;
    deletion.key = key;
    deletion.revision = revision;
    deletion.deleted = true;
    missing.push_back(std::move(deletion));
  }
  return missing;
}

/**
 * True if a copy at `revision`, with changes up to `newest`, has some but not
 * all of the changes in `span`.
 */
bool LiesWithin(const std::optional<RevisionSpan>& span,
                const StoreRevision& revision,
                const StoreRevision& newest) {
  return span && newest > span->after && revision < span->up_to;
}

/** Extends the replica's compared span by another one. */
void AddComparedSpan(StoreReplica& replica, const RevisionSpan& span) {
  if (!replica.compared) {
    replica.compared = span;
    return;
  }
  replica.compared->after = std::min(replica.compared->after, span.after);
  replica.compared->up_to = std::max(replica.compared->up_to, span.up_to);
}

/** A change of the replica, and what it replaced. */
struct ChangedItem {
  StoreItem item;
  ItemState replaced;
};

// Followers that had the replica's items need only the difference. A full copy
// for each of them would saturate the link of a small instance for seconds. A
// replica that had some changes beyond its revision lacks what followers
// without them need, so that they get a full copy then.
void AddReloadToRecent(StoreReplica& replica,
                       std::vector<ChangedItem> changed_items,
                       const StoreRevision& revision) {
  if (replica.revision == 0 || replica.newest > replica.revision) {
    replica.recent.clear();
    replica.recent_after = revision;
    replica.compared.reset();
    return;
  }
  AddComparedSpan(replica, {replica.revision, revision});
  std::sort(changed_items.begin(), changed_items.end(),
            [](const ChangedItem& a, const ChangedItem& b) {
              return a.item.revision < b.item.revision;
            });
  for (const ChangedItem& changed : changed_items)
    AddRecentChange(replica, changed.item, changed.replaced);
}

/** Gives all items the era of the restored store. */
void SetEra(StoreReplica& replica, uint64_t era) {
  for (auto& [key, item] : replica.items)
    item.revision.era = era;
}

std::vector<StoreItem> ApplyFullCopy(
    StoreReplica& replica,
    const std::map<std::string, StoreItem>& full_copy,
    const StoreRevision& revision,
    const StoreRevision& newest) {
  std::vector<ChangedItem> changed;
  std::vector<StoreItem> changed_items;
  for (const StoreItem& deletion : DeletionsIn(replica, full_copy, revision)) {
    changed.push_back({deletion, KnownState(replica, deletion.key)});
    changed_items.push_back(deletion);
    replica.items.erase(deletion.key);
    replica.patches.erase(deletion.key);
  }
  for (const auto& [key, item] : full_copy) {
    const ItemState replaced = KnownState(replica, key);
    if (!ApplyItem(replica, item))
      continue;
    changed.push_back({item, replaced});
    changed_items.push_back(item);
  }
  AddReloadToRecent(replica, std::move(changed), revision);
  SetEra(replica, revision.era);
  replica.revision = revision;
  replica.newest = std::max({replica.newest, revision, newest});
  return changed_items;
}

}  // namespace

ItemState StateOf(const StoreItem& item) {
  if (item.deleted)
    return {};
  return {item.revision.number, std::hash<std::string>()(item.value)};
}

ReloadSummary SummaryOf(const StoreReload& reload) {
  return {reload.pages, reload.revision, reload.newest_page};
}

// Pages are not a snapshot, and stale ones come from copies of different ages,
// so any page can be the oldest one. A watch that starts after a newer page
// would never return the changes between the two.
bool AddPage(StoreReload& reload, StoreAnswer page) {
  reload.revision = reload.pages == 0
                        ? page.revision
                        : std::min(reload.revision, page.revision);
  reload.newest_page = std::max(reload.newest_page, page.revision);
  ++reload.pages;
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
  return ApplyFullCopy(replica, reload.items, reload.revision,
                       reload.newest_page);
}

bool CanApply(const StoreReplica& replica, const StoreChanges& changes) {
  if (changes.up_to < replica.revision)
    return false;
  if (changes.whole)
    return true;
  return replica.revision > 0 && changes.after <= replica.revision &&
         !LiesWithin(changes.compared, replica.revision, replica.newest);
}

std::vector<StoreItem> ApplyChanges(StoreReplica& replica,
                                    const StoreChanges& changes) {
  if (!CanApply(replica, changes))
    return {};
  if (changes.whole) {
    std::map<std::string, StoreItem> full_copy;
    for (const StoreItem& item : changes.items)
      full_copy[item.key] = item;
    return ApplyFullCopy(replica, full_copy, changes.up_to, changes.newest);
  }
  std::vector<StoreItem> changed_items;
  for (const StoreItem& item : changes.items) {
    if (item.revision <= replica.revision)
      continue;
    const ItemState replaced = KnownState(replica, item.key);
    if (ApplyItem(replica, item))
      changed_items.push_back(item);
    AddRecentChange(replica, item, replaced);
  }
  if (changes.up_to.era > replica.revision.era)
    SetEra(replica, changes.up_to.era);
  if (changes.compared && changes.compared->up_to > replica.revision)
    AddComparedSpan(replica, *changes.compared);
  replica.revision = std::max(replica.revision, changes.up_to);
  replica.newest = std::max({replica.newest, replica.revision, changes.newest});
  return changed_items;
}

StoreChanges ChangesAfter(const StoreReplica& replica,
                          const StoreRevision& revision,
                          ValueForm form) {
  StoreChanges changes;
  changes.up_to = replica.revision;
  changes.newest = replica.newest;
  changes.after = revision;
  changes.whole = revision == 0 || revision < replica.recent_after ||
                  LiesWithin(replica.compared, revision, revision);
  if (changes.whole) {
    changes.after = 0;
    for (const auto& [key, item] : replica.items)
      changes.items.push_back(item);
    return changes;
  }
  if (replica.compared && revision < replica.compared->up_to)
    changes.compared = replica.compared;
  // A follower needs only the latest state of each key.
  std::map<std::string, StoreRevision> changed;
  for (const RecentChange& change : replica.recent) {
    if (change.revision > revision)
      changed[change.key] = change.revision;
  }
  for (const auto& [key, changed_at] : changed) {
    StoreItem item = CurrentState(replica, key, changed_at);
    if (form == ValueForm::kPatched)
      ReplaceValueByPatches(replica, revision, item);
    changes.items.push_back(std::move(item));
  }
  return changes;
}

}  // namespace mangodoor
