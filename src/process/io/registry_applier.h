#ifndef PROCESS_IO_REGISTRY_APPLIER_H_
#define PROCESS_IO_REGISTRY_APPLIER_H_

#include <map>
#include <string>
#include <vector>

#include "process/clock.h"
#include "process/io/action_runner.h"
#include "process/io/line_limiter.h"
#include "process/membership/membership.h"
#include "process/ordered_mutex.h"
#include "process/registry/decoded_item.h"

namespace mangodoor {

struct Feed;
struct Tables;

/** Applies changes of the platform's store to the tables. */
class RegistryApplier {
 public:
  RegistryApplier(Tables& tables,
                  Feed& feed,
                  const Clock& clock,
                  ActionRunner& actions,
                  const Instance& self,
                  ItemDecoder decode);

  /**
   * Applies written and deleted items. The changes of a key can arrive in any
   * order; one that is older than the latest applied has no effect. `waited`
   * is how long they were kept, for logs.
   */
  void Apply(const std::vector<StoreItem>& items, Duration waited = {});

  /**
   * Keeps items until ApplyKept is called. Returns true if it has to be called
   * for them; false if a call is due already.
   */
  bool Keep(std::vector<StoreItem> items);

  /** Applies what was kept, all at once. */
  void ApplyKept();

  /** Logs and counts items that were read without a usable key. */
  void ReportUnreadable(const std::string& reason);

 private:
  struct ServerChanges {
    std::vector<ServerRecord> records;
    std::vector<BackendServerId> removed;
  };

  /**
   * Records the item's revision. Returns false if a later change of its key has
   * been applied.
   */
  bool UpdateRevision(const StoreItem& item);
  void ApplyDocument(const VersionPtr& version,
                     const StoreItem& item,
                     TimePoint decode_started);
  void ApplyCommand(const DataCentreCommand& command, const StoreItem& item);
  /** Decodes the item, and applies it unless it is a server's. */
  void Decode(const StoreItem& item, ServerChanges& changes);
  /** Logs and counts an item that cannot be used. */
  void Refuse(const StoreItem& item, const std::vector<Fault>& faults);
  void LogRefused(const StoreItem& item, const std::string& reason);

  Tables& tables_;
  Feed& feed_;
  const Clock& clock_;
  ActionRunner& actions_;
  const Instance& self_;
  const ItemDecoder decode_;
  LineLimiter refused_lines_;
  OrderedMutex kept_mutex_{LockRank::kFeedApply};
  // Guarded by `kept_mutex_`.
  std::vector<StoreItem> kept_;
  /** When the first of `kept_` was kept. */
  TimePoint kept_since_{};
  // Never held together with `kept_mutex_`. Guards the members below.
  OrderedMutex mutex_{LockRank::kFeedApply};
  /** How long the items that are being applied were kept, for logs. */
  Duration waited_{};
  /** Revision of the latest applied change of each key. */
  std::map<std::string, StoreRevision> revisions_;
  /** Why the item of a key cannot be used; only keys of such items. */
  std::map<std::string, std::string> refusals_;
};

}  // namespace mangodoor

#endif  // PROCESS_IO_REGISTRY_APPLIER_H_
