#include "process/io/registry_applier.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "process/io/log.h"
#include "process/registry/feed.h"
#include "process/tables.h"

namespace mangodoor {

namespace {

constexpr int kRefusedLinesPerSecond = 20;
constexpr size_t kMaxReasonLength = 400;

}  // namespace

RegistryApplier::RegistryApplier(Tables& tables,
                                 Feed& feed,
                                 const Clock& clock,
                                 ActionRunner& actions,
                                 const Instance& self,
                                 ItemDecoder decode)
    : tables_(tables),
      feed_(feed),
      clock_(clock),
      actions_(actions),
      self_(self),
      decode_(std::move(decode)),
      refused_lines_(clock, kRefusedLinesPerSecond) {}

namespace {

/**
 * Returns the latest item of each key, sorted by revision. Of two with the same
 * revision, the later one in the list counts: after a restoration of the store,
 * an item that was carried gives way to the store's.
 */
std::vector<const StoreItem*> LatestItemPerKey(
    const std::vector<StoreItem>& items) {
  std::map<std::string, const StoreItem*> latest;
  for (const StoreItem& item : items) {
    const StoreItem*& known = latest[item.key];
    if (!known || known->revision <= item.revision)
      known = &item;
  }
  std::vector<const StoreItem*> ordered;
  ordered.reserve(latest.size());
  for (const auto& [key, item] : latest)
    ordered.push_back(item);
  std::sort(ordered.begin(), ordered.end(),
            [](const StoreItem* a, const StoreItem* b) {
              return a->revision < b->revision;
            });
  return ordered;
}

}  // namespace

bool RegistryApplier::UpdateRevision(const StoreItem& item) {
  StoreRevision& revision = revisions_[item.key];
  if (item.revision < revision)
    return false;
  revision = item.revision;
  return true;
}

void RegistryApplier::Apply(const std::vector<StoreItem>& items,
                            Duration waited) {
  // The lock is held during the whole call, so that batches are applied one by
  // one.
  OrderedLock lock(mutex_);
  waited_ = waited;
  ServerChanges changes;
  // Decoding a version with a thousand routes takes milliseconds, and a burst
  // of changes contains many versions, of which only the latest matters.
  for (const StoreItem* latest : LatestItemPerKey(items)) {
    if (UpdateRevision(*latest))
      Decode(*latest, changes);
  }
  if (!changes.records.empty() || !changes.removed.empty())
    actions_.Run(ApplyRecords(tables_.servers, changes.records, changes.removed,
                              clock_.Now()));
}

bool RegistryApplier::Keep(std::vector<StoreItem> items) {
  OrderedLock lock(kept_mutex_);
  const bool is_first = kept_.empty();
  if (is_first)
    kept_since_ = clock_.Now();
  kept_.insert(kept_.end(), std::make_move_iterator(items.begin()),
               std::make_move_iterator(items.end()));
  return is_first;
}

void RegistryApplier::ApplyKept() {
  std::vector<StoreItem> items;
  Duration waited{};
  {
    OrderedLock lock(kept_mutex_);
    items.swap(kept_);
    waited = clock_.Now() - kept_since_;
  }
  Apply(items, waited);
}

void RegistryApplier::Decode(const StoreItem& item, ServerChanges& changes) {
  const TimePoint decode_started = clock_.Now();
  const DecodedItem decoded = decode_(item, clock_.WallNow());
  std::vector<Fault> faults;
  if (const auto* record = std::get_if<ServerRecord>(&decoded)) {
    changes.records.push_back(*record);
    changes.records.back().revision = item.revision;
  } else if (const auto* removed = std::get_if<RemovedServer>(&decoded)) {
    changes.removed.push_back(removed->id);
    faults = removed->faults;
  } else if (const auto* command = std::get_if<DataCentreCommand>(&decoded)) {
    ApplyCommand(*command, item);
  } else if (const auto* version = std::get_if<VersionPtr>(&decoded)) {
    ApplyDocument(*version, item, decode_started);
  } else if (const auto* invalid = std::get_if<InvalidDocument>(&decoded)) {
    faults = invalid->faults;
  }
  if (faults.empty())
    refusals_.erase(item.key);
  else
    Refuse(item, faults);
}

void RegistryApplier::ApplyDocument(const VersionPtr& version,
                                    const StoreItem& item,
                                    TimePoint decode_started) {
  const Duration decode_time = clock_.Now() - decode_started;
  const ApplyOutcome outcome =
      AdoptVersionIfNewer(tables_.versions, version, clock_.WallNow());
  Log(LogLevel::kInfo, "document_considered",
      {{"version", version->document.version},
       {"revision", item.revision.number},
       {"bytes", item.value.size()},
       {"waited_ms", Milliseconds(waited_)},
       {"decode_ms", Milliseconds(decode_time)},
       {"in_force", outcome == ApplyOutcome::kInForce}});
  if (outcome != ApplyOutcome::kInForce)
    return;
  const VersionPtr in_force = VersionInForce(tables_.versions);
  const TimePoint now = clock_.Now();
  {
    OrderedLock lock(tables_.usage.mutex);
    AdoptAccounts(tables_.usage.limiter, *in_force, now);
  }
  actions_.Run(ApplyVersion(tables_.servers, *in_force, self_.caller_endpoint,
                            self_.data_centre, now));
}

void RegistryApplier::ApplyCommand(const DataCentreCommand& command,
                                   const StoreItem& item) {
  Log(LogLevel::kInfo, command.out ? "data_centre_out" : "data_centre_in",
      {{"data_centre", command.data_centre.value()},
       {"revision", item.revision.number}});
  actions_.Run(SetDataCentreOut(tables_.servers, command.data_centre,
                                command.out, clock_.Now()));
}

// Another writer may write the same faulty item every second, so that it is
// logged only when the reason changes.
void RegistryApplier::Refuse(const StoreItem& item,
                             const std::vector<Fault>& faults) {
  ++feed_.entries_refused;
  const std::string reason = ToString(faults).substr(0, kMaxReasonLength);
  std::string& known_reason = refusals_[item.key];
  if (known_reason == reason)
    return;
  known_reason = reason;
  LogRefused(item, reason);
}

void RegistryApplier::ReportUnreadable(const std::string& reason) {
  ++feed_.entries_refused;
  LogRefused(StoreItem(), reason);
}

void RegistryApplier::LogRefused(const StoreItem& item,
                                 const std::string& reason) {
  const LineLimiter::Admission admission = refused_lines_.Admit();
  if (!admission.admitted)
    return;
  Log(LogLevel::kWarning, "entry_refused",
      {{"key", item.key},
       {"revision", item.revision.number},
       {"reason", reason},
       {"lines_not_logged", admission.dropped}});
}

}  // namespace mangodoor
