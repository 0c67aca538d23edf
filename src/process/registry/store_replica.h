#ifndef PROCESS_REGISTRY_STORE_REPLICA_H_
#define PROCESS_REGISTRY_STORE_REPLICA_H_

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "process/registry/platform_store.h"

namespace mangodoor {

/** Revisions above `after`, up to `up_to`. */
struct RevisionSpan {
  StoreRevision after;
  StoreRevision up_to;
};

/** Changes of the store after one revision, up to another one. */
struct StoreChanges {
  /** The receiver must have all changes up to this; 0 for a full copy. */
  StoreRevision after;
  /** The receiver's revision once it has applied the changes. */
  StoreRevision up_to;
  /** As in StoreReplica. */
  StoreRevision newest;
  /** As in StoreReplica; unset for a full copy. */
  std::optional<RevisionSpan> compared;
  /** True if `items` is a full copy of the store at `up_to`. */
  bool whole = false;
  std::vector<StoreItem> items;
};

/** Identifies one state of an item. */
struct ItemState {
  /** Number of the revision at which it was written; 0 if it did not exist. */
  uint64_t number = 0;
  size_t value_hash = 0;
};

ItemState StateOf(const StoreItem& item);

/** A key that changed. */
struct RecentChange {
  std::string key;
  StoreRevision revision;
  /** The state that the change replaced. */
  ItemState replaced;
};

/**
 * A copy of the platform's store. It has every change up to `revision`, and
 * can have some of the later ones, up to `newest`.
 */
struct StoreReplica {
  /** Items by key. */
  std::map<std::string, StoreItem> items;
  /** 0 before the first full copy. All items have its era. */
  StoreRevision revision;
  StoreRevision newest;
  /** Keys of the latest changes, oldest first, for updates to followers. */
  std::deque<RecentChange> recent;
  /** `recent` holds every change after this revision, but for `compared`. */
  StoreRevision recent_after;
  /**
   * Latest changes of the values of large items by key, each the base of the
   * one after it. The last one results in the item's value.
   */
  std::map<std::string, std::deque<ValuePatch>> patches;
  /**
   * A span whose changes are known only by comparing two full copies: `recent`
   * lacks the keys that were both added and deleted within it.
   */
  std::optional<RevisionSpan> compared;
};

/** A full read of the store, page by page. */
struct StoreReload {
  std::map<std::string, StoreItem> items;
  /**
   * Revision of the oldest page: up to it, `items` lacks no change. Other pages
   * can contain later changes.
   */
  StoreRevision revision;
  StoreRevision newest_page;
  /** The last key read; the next page begins after it. */
  std::string after_key;
  int pages = 0;
  /** The same for all pages of a reload. */
  ReadConsistency consistency = ReadConsistency::kCurrent;
};

/** What a full read consisted of, for logs. */
struct ReloadSummary {
  int pages = 0;
  /** Revision of the oldest page, from which the copy is kept up to date. */
  StoreRevision revision;
  StoreRevision newest_page;
};

ReloadSummary SummaryOf(const StoreReload& reload);

/** Adds a page; returns true if it was the last one. */
bool AddPage(StoreReload& reload, StoreAnswer page);

/**
 * Updates the replica from a full copy, unless the replica has a higher
 * revision. Returns the changes, deletions included.
 */
std::vector<StoreItem> ApplyReload(StoreReplica& replica, StoreReload reload);

/**
 * Applies changes, and returns those that the replica did not have yet. Does
 * nothing if CanApply is false. An item never goes back to an older revision.
 */
std::vector<StoreItem> ApplyChanges(StoreReplica& replica,
                                    const StoreChanges& changes);

/**
 * True if `changes` leave no gap and are not older than the replica. Changes
 * that were found by comparing copies leave a gap for a replica that has some,
 * but not all of those in between.
 */
bool CanApply(const StoreReplica& replica, const StoreChanges& changes);

/** How changed values are given to another instance. */
enum class ValueForm {
  kWhole,
  /** As patches, where these are known. */
  kPatched,
};

/** The changes for an instance that has all changes up to `revision`. */
StoreChanges ChangesAfter(const StoreReplica& replica,
                          const StoreRevision& revision,
                          ValueForm form = ValueForm::kWhole);

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_STORE_REPLICA_H_
