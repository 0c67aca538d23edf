#ifndef PROCESS_REGISTRY_PLATFORM_STORE_H_
#define PROCESS_REGISTRY_PLATFORM_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "process/clock.h"
#include "process/registry/store_revision.h"
#include "process/registry/value_patch.h"

namespace mangodoor {

/** An item of the platform's store, or its deletion. */
struct StoreItem {
  std::string key;
  std::string value;
  /** Revision of the store at which the item was written or deleted. */
  StoreRevision revision;
  bool deleted = false;
  /**
   * How the value came about, oldest first; empty if it is not known. Between
   * instances, an item with patches has no value.
   */
  std::vector<ValuePatch> patches = {};
};

/** Whether the store may answer a read from a stale copy. */
enum class ReadConsistency { kCurrent, kMayBeStale };

/** The store's answer to a read. */
struct StoreAnswer {
  enum class Kind {
    kItems,
    /** The store has compacted the changes after the given revision. */
    kCompacted,
    /** The store refused the request. */
    kRefused,
    /** No answer, or only a part of one. */
    kUnavailable,
    /**
     * An answer that is too large, takes too long to transfer or cannot be
     * decoded. The same read would probably end in the same way.
     */
    kUnusable,
  };
  Kind kind = Kind::kUnavailable;
  /** Ordered by key for a page, by revision for a watch. */
  std::vector<StoreItem> items;
  /** For a page: more keys follow the last one. */
  bool more = false;
  /**
   * Revision of the store that this answer reflects. Its era, which all items
   * have, too, is valid only if `names_era`.
   */
  StoreRevision revision;
  bool names_era = false;
  /** Why there are no items, for logs. */
  std::string reason;
};

/**
 * Read-only access to the platform's store of published items. Each change of
 * the store raises its revision.
 */
class PlatformStore {
 public:
  using Callback = std::function<void(StoreAnswer)>;

  virtual ~PlatformStore() = default;

  /**
   * Reads the items that follow `after_key`, up to the store's page size. Calls
   * `done` once, on a worker thread, never from within this call.
   */
  virtual void ReadPage(const std::string& after_key,
                        ReadConsistency consistency,
                        Callback done) = 0;

  /**
   * Reads the revision of the store, which can be stale, at little cost. The
   * items of the answer have no meaning. `done` is called as for ReadPage.
   */
  virtual void ReadRevision(Callback done) = 0;

  /**
   * Waits up to `wait` for changes after `after_revision`; the items are empty
   * if there were none. `done` is called as for ReadPage.
   */
  virtual void Watch(uint64_t after_revision,
                     std::chrono::milliseconds wait,
                     Callback done) = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_PLATFORM_STORE_H_
