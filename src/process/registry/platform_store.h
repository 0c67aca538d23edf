#ifndef PROCESS_REGISTRY_PLATFORM_STORE_H_
#define PROCESS_REGISTRY_PLATFORM_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "process/clock.h"

namespace mangodoor {

/** An item of the platform's store as it was written, or its deletion. */
struct StoreItem {
  std::string key;
  std::string value;
  /** Revision of the store at which this was written or deleted. */
  uint64_t revision = 0;
  bool deleted = false;
};

/** Whether a read may be answered from a copy that lags. */
enum class ReadConsistency { kCurrent, kMayBeStale };

/** What the store answered. */
struct StoreAnswer {
  enum class Kind {
    kItems,
    /** The store no longer has the changes after the named revision. */
    kCompacted,
    /** The store answered that it does not serve this call. */
    kRefused,
    /** No answer, or one that is not understood. */
    kUnavailable,
  };
  Kind kind = Kind::kUnavailable;
  /** In the order of their keys for a page, of revisions for a watch. */
  std::vector<StoreItem> items;
  /** A page only: more keys follow the last one. */
  bool more = false;
  /** Revision of the store that this answer reflects. */
  uint64_t revision = 0;
  /** Why there are no items, for logs. */
  std::string reason;
};

/**
 * The platform's store of published items, which can only be read. All its
 * changes are numbered by one revision.
 */
class PlatformStore {
 public:
  using Callback = std::function<void(StoreAnswer)>;

  virtual ~PlatformStore() = default;

  /**
   * Reads the items that follow `after_key`, as many as the store gives at
   * once. Calls `done` once, on a worker thread, never from within this call.
   */
  virtual void ReadPage(const std::string& after_key,
                        ReadConsistency consistency,
                        Callback done) = 0;

  /**
   * Waits for changes after `after_revision`, at most for `wait`; the items
   * are empty if there were none. `done` is called as for ReadPage.
   */
  virtual void Watch(uint64_t after_revision,
                     std::chrono::milliseconds wait,
                     Callback done) = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_PLATFORM_STORE_H_
