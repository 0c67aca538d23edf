#include "process/registry/io/feed_patches.h"

#include <algorithm>
#include <map>
#include <optional>
#include <utility>

#include "process/registry/io/patch_codec.h"

namespace mangodoor {
namespace {

/**
 * This instance's copy of an item; a deletion at revision 0 if it has none. A
 * copy, so that no lock is held while a patch is encoded or decoded.
 */
StoreItem KnownItem(const Feed& feed, const std::string& key) {
  OrderedLock lock(feed.mutex);
  const auto known = feed.replica.items.find(key);
  if (known != feed.replica.items.end())
    return known->second;
  StoreItem none;
  none.key = key;
  none.deleted = true;
  return none;
}

bool IsLarge(const StoreItem& item) {
  return !item.deleted && item.value.size() >= kMinPatchedBytes;
}

/** Removes each large item that is followed by a later change of its key. */
void RemoveSuperseded(std::vector<StoreItem>& items) {
  std::map<std::string, StoreRevision> latest;
  for (const StoreItem& item : items) {
    StoreRevision& revision = latest[item.key];
    revision = std::max(revision, item.revision);
  }
  items.erase(std::remove_if(items.begin(), items.end(),
                             [&latest](const StoreItem& item) {
                               return IsLarge(item) &&
                                      item.revision < latest[item.key];
                             }),
              items.end());
}

/** Applies the patches that follow the known value. */
bool Expand(const StoreItem& known, StoreItem& item) {
  auto patch = std::find_if(item.patches.begin(), item.patches.end(),
                            [&known](const ValuePatch& p) {
                              return p.base == known.revision.number;
                            });
  if (known.deleted || patch == item.patches.end())
    return false;
  std::string value = known.value;
  for (; patch != item.patches.end(); ++patch) {
    std::optional<std::string> next = DecodePatch(value, patch->bytes);
    if (!next)
      return false;
    value = std::move(*next);
  }
  item.value = std::move(value);
  return true;
}

}  // namespace

void AddPatches(const Feed& feed, std::vector<StoreItem>& items) {
  RemoveSuperseded(items);
  for (StoreItem& item : items) {
    if (!IsLarge(item))
      continue;
    const StoreItem known = KnownItem(feed, item.key);
    if (!IsLarge(known) || known.revision.era != item.revision.era ||
        known.revision >= item.revision)
      continue;
    if (auto bytes = EncodePatch(known.value, item.value))
      item.patches = {
          {known.revision.number, item.revision.number, std::move(*bytes)}};
  }
}

bool ExpandPatches(const Feed& feed, StoreChanges& changes) {
  std::vector<StoreItem> items;
  items.reserve(changes.items.size());
  for (StoreItem& item : changes.items) {
    if (!item.patches.empty()) {
      const StoreItem known = KnownItem(feed, item.key);
      // The copy has this change or a later one.
      if (known.revision >= item.revision)
        continue;
      if (!Expand(known, item))
        return false;
    }
    items.push_back(std::move(item));
  }
  changes.items = std::move(items);
  return true;
}

}  // namespace mangodoor
