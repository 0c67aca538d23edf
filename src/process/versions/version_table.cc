#include "process/versions/version_table.h"

#include <algorithm>
#include <utility>

#include "version/planned_change.h"

namespace mangodoor {
namespace {

// Enough for all the different documents that the peers of a fleet hold at any
// one time. A document that is dropped from the list can be requested again.
constexpr size_t kMaxRejected = 32;

// The caller must hold the lock of the table, here and in the next two
// functions.
ApplyOutcome CheckCandidate(const VersionTable& table,
                            const Version& candidate) {
  if (!table.in_force)
    return ApplyOutcome::kInForce;
  const uint64_t current = table.in_force->document.version;
  const uint64_t offered = candidate.document.version;
  if (offered < current && table.options.reject_lower_versions)
    return ApplyOutcome::kOlderVersion;
  if (offered != current)
    return ApplyOutcome::kInForce;
  if (candidate.digest == table.in_force->digest)
    return ApplyOutcome::kSameVersion;
  return table.options.reject_conflicts ? ApplyOutcome::kConflict
                                        : ApplyOutcome::kInForce;
}

bool ContainsRejected(const VersionTable& table,
                      uint64_t version,
                      const std::string& digest) {
  return std::any_of(table.rejected.begin(), table.rejected.end(),
                     [&](const RejectedDocument& rejected) {
                       return rejected.version == version &&
                              rejected.digest == digest;
                     });
}

void AppendRejected(VersionTable& table, RejectedDocument document) {
  if (ContainsRejected(table, document.version, document.digest))
    return;
  table.rejected.push_back(std::move(document));
  if (table.rejected.size() > kMaxRejected)
    table.rejected.pop_front();
}

}  // namespace

VersionPtr VersionInForce(const VersionTable& table) {
  OrderedLock lock(table.mutex);
  return table.in_force;
}

bool MayServeKeyedRequests(const VersionTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  if (!table.in_force)
    return false;
  return !table.options.fence_when_stale ||
         IsFresh(table.freshness, table.fresh_for, now);
}

void RecordConfirmation(VersionTable& table,
                        const std::optional<TimePoint>& confirmed,
                        TimePoint now) {
  OrderedLock lock(table.mutex);
  CheckForPause(table.freshness, now);
  KeepLatest(table.freshness.own_read, confirmed);
}

ApplyOutcome AdoptWithoutPlannedChanges(VersionTable& table,
                                        VersionPtr candidate) {
  OrderedLock lock(table.mutex);
  const ApplyOutcome outcome = CheckCandidate(table, *candidate);
  if (outcome == ApplyOutcome::kInForce) {
    table.approved = candidate;
    table.in_force = std::move(candidate);
    table.applied_changes.clear();
  }
  return outcome;
}

ApplyOutcome AdoptVersionIfNewer(VersionTable& table,
                                 const VersionPtr& candidate,
                                 WallTime now) {
  std::vector<PlannedChange> applied;
  {
    OrderedLock lock(table.mutex);
    applied = table.applied_changes;
  }
  // The version with its planned changes is built without the lock, as this
  // takes milliseconds for a document of 1 MB.
  applied = ChangesInForce(candidate->document, applied, now);
  VersionPtr effective = WithPlannedChanges(candidate, applied);
  OrderedLock lock(table.mutex);
  const ApplyOutcome outcome = CheckCandidate(table, *candidate);
  if (outcome == ApplyOutcome::kConflict)
    AppendRejected(table, {candidate->document.version, candidate->digest});
  if (outcome == ApplyOutcome::kInForce) {
    table.approved = candidate;
    table.in_force = std::move(effective);
    table.applied_changes = std::move(applied);
  }
  return outcome;
}

VersionPtr RefreshPlannedChanges(VersionTable& table, WallTime now) {
  VersionPtr approved;
  std::vector<PlannedChange> applied;
  {
    OrderedLock lock(table.mutex);
    const auto next =
        table.approved
            ? NextPlannedChange(table.approved->document, table.applied_changes)
            : std::nullopt;
    if (!next || *next > now)
      return nullptr;
    approved = table.approved;
    applied = table.applied_changes;
  }
  applied = ChangesInForce(approved->document, applied, now);
  VersionPtr effective = WithPlannedChanges(approved, applied);
  OrderedLock lock(table.mutex);
  // Another version came into force while this one was being built. Its planned
  // changes that are due are already applied.
  if (table.approved != approved)
    return nullptr;
  table.in_force = effective;
  table.applied_changes = std::move(applied);
  return effective;
}

std::optional<WallTime> NextPlannedChange(const VersionTable& table) {
  OrderedLock lock(table.mutex);
  if (!table.approved)
    return std::nullopt;
  return NextPlannedChange(table.approved->document, table.applied_changes);
}

void AddRejectedDocument(VersionTable& table, RejectedDocument document) {
  OrderedLock lock(table.mutex);
  AppendRejected(table, std::move(document));
}

bool IsRejected(const VersionTable& table,
                uint64_t version,
                const std::string& digest) {
  OrderedLock lock(table.mutex);
  return ContainsRejected(table, version, digest);
}

}  // namespace mangodoor
