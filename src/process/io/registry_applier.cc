#include "process/io/registry_applier.h"

#include <algorithm>
#include <utility>

#include "process/io/log.h"
#include "process/tables.h"

namespace mangodoor {

RegistryApplier::RegistryApplier(Tables& tables,
                                 const Clock& clock,
                                 ActionRunner& actions,
                                 const Instance& self,
                                 ItemDecoder decode)
    : tables_(tables),
      clock_(clock),
      actions_(actions),
      self_(self),
      decode_(std::move(decode)) {}

namespace {

/** Returns the latest item of each key, sorted by revision. */
std::vector<const StoreItem*> LatestItemPerKey(
    const std::vector<StoreItem>& items) {
  std::map<std::string, const StoreItem*> latest;
  for (const StoreItem& item : items) {
    const StoreItem*& known = latest[item.key];
    if (!known || known->revision < item.revision)
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
  uint64_t& revision = revisions_[item.key];
  if (item.revision < revision)
    return false;
  revision = item.revision;
  return true;
}

void RegistryApplier::Apply(const std::vector<StoreItem>& items) {
  // The lock is held during the whole call, so that batches are applied one by
  // one.
  OrderedLock lock(mutex_);
  std::vector<ServerRecord> records;
  std::vector<BackendServerId> removed_servers;
  // Decoding a version with a thousand routes takes milliseconds, and a burst
  // of changes contains many versions, of which only the latest matters.
  for (const StoreItem* latest : LatestItemPerKey(items)) {
    const StoreItem& item = *latest;
    if (!UpdateRevision(item))
      continue;
    const DecodedItem decoded = decode_(item, clock_.WallNow());
    if (const auto* record = std::get_if<ServerRecord>(&decoded)) {
      records.push_back(*record);
    } else if (const auto* removed = std::get_if<RemovedServer>(&decoded)) {
      removed_servers.push_back(removed->id);
      LogFaults("server_record_unusable", item, removed->faults);
    } else if (const auto* command = std::get_if<DataCentreCommand>(&decoded)) {
      ApplyCommand(*command, item);
    } else if (const auto* version = std::get_if<VersionPtr>(&decoded)) {
      ApplyDocument(*version, item);
    } else if (const auto* invalid = std::get_if<InvalidDocument>(&decoded)) {
      LogFaults("document_rejected", item, invalid->faults);
    }
  }
  if (!records.empty() || !removed_servers.empty())
    actions_.Run(
        ApplyRecords(tables_.servers, records, removed_servers, clock_.Now()));
}

void RegistryApplier::ApplyDocument(const VersionPtr& version,
                                    const StoreItem& item) {
  const ApplyOutcome outcome =
      AdoptVersionIfNewer(tables_.versions, version, clock_.WallNow());
  Log(LogLevel::kInfo, "document_considered",
      {{"version", version->document.version},
       {"revision", item.revision},
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
       {"revision", item.revision}});
  actions_.Run(SetDataCentreOut(tables_.servers, command.data_centre,
                                command.out, clock_.Now()));
}

void RegistryApplier::LogFaults(const char* event,
                                const StoreItem& item,
                                const std::vector<Fault>& faults) {
  for (const Fault& fault : faults) {
    Log(LogLevel::kWarning, event,
        {{"key", item.key},
         {"revision", item.revision},
         {"fault", ToString(fault)}});
  }
}

}  // namespace mangodoor
