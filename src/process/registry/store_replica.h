#ifndef PROCESS_REGISTRY_STORE_REPLICA_H_
#define PROCESS_REGISTRY_STORE_REPLICA_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "process/registry/platform_store.h"

namespace mangodoor {

/** Changes of the store after one revision, up to another. */
struct StoreChanges {
  /** The receiver must have everything up to this; 0 for a whole copy. */
  uint64_t after = 0;
  uint64_t up_to = 0;
  /** True if `items` is all that the store holds at `up_to`. */
  bool whole = false;
  std::vector<StoreItem> items;
};

/** A key that changed. */
struct RecentChange {
  std::string key;
  uint64_t revision = 0;
};

/** A copy of the platform's store, complete up to one revision. */
struct StoreReplica {
  /** Value and revision of each key. */
  std::map<std::string, StoreItem> items;
  /** 0 until the first whole copy. */
  uint64_t revision = 0;
  /** Keys of the latest changes, oldest first, for those that follow. */
  std::deque<RecentChange> recent;
  /** `recent` holds every change after this revision. */
  uint64_t recent_after = 0;
};

/** A read of the whole store, page by page. */
struct StoreReload {
  std::map<std::string, StoreItem> items;
  /** Revision of the first page: later changes may or may not be in. */
  uint64_t revision = 0;
  /** Where the next page begins. */
  std::string after_key;
  bool first = true;
};

/** Takes over a page; true if it was the last one. */
bool AddPage(StoreReload& reload, StoreAnswer page);

/**
 * Takes over a whole copy, unless the replica is further on. Returns what
 * changed, deletions included.
 */
std::vector<StoreItem> ApplyReload(StoreReplica& replica, StoreReload reload);

/**
 * Takes over changes. Returns those that were news; none if they do not join
 * on to what the replica has. No item ever goes back to an older revision.
 */
std::vector<StoreItem> ApplyChanges(StoreReplica& replica,
                                    const StoreChanges& changes);

/** True if the replica can take over `changes`. */
bool CanApply(const StoreReplica& replica, const StoreChanges& changes);

/** What an instance needs that has everything up to `revision`. */
StoreChanges ChangesAfter(const StoreReplica& replica, uint64_t revision);

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_STORE_REPLICA_H_
