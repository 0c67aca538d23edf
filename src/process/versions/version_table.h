#ifndef PROCESS_VERSIONS_VERSION_TABLE_H_
#define PROCESS_VERSIONS_VERSION_TABLE_H_

#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "process/clock.h"
#include "process/membership/freshness.h"
#include "process/ordered_mutex.h"
#include "process/versions/document_request.h"
#include "process/versions/propagation_options.h"
#include "process/versions/read_schedule.h"
#include "version/version.h"

namespace mangodoor {

enum class ApplyOutcome {
  kInForce,
  kSameVersion,
  kOlderVersion,
  /**
   * The candidate has the same version number as the version in force but
   * another digest. The version in force stays.
   */
  kConflict,
};

/** Identifies a document that must not come into force. */
struct RejectedDocument {
  uint64_t version = 0;
  std::string digest;
};

/** The version in force, its freshness, and pending reads and requests. */
struct VersionTable {
  mutable OrderedMutex mutex{LockRank::kVersion};
  /** The version in force, with the planned changes that are due. */
  VersionPtr in_force;
  /** The same version as operators approved it: no planned change applied. */
  VersionPtr approved;
  /** Planned changes that are included in `in_force`. */
  std::vector<PlannedChange> applied_changes;
  Freshness freshness;
  /** How long keyed requests are served after the last confirmation. */
  Duration fresh_for = kFreshFor;
  ReadSchedule reads;
  DocumentRequestState request;
  /** The latest documents that were rejected, oldest first. */
  std::deque<RejectedDocument> rejected;
  /**
   * Version and digest of the document that the configuration service had at
   * the latest read; 0 and empty before the first response.
   */
  uint64_t service_version = 0;
  std::string service_digest;
  PropagationOptions options;
};

/** The version in force, or null before the first one. */
VersionPtr VersionInForce(const VersionTable& table);

/**
 * True if requests with an API key may be served: there is a version in force,
 * and it is fresh unless fence_when_stale is off.
 */
bool MayServeKeyedRequests(const VersionTable& table, TimePoint now);

/**
 * Records `confirmed`, the time when the version in force was last known to be
 * the latest one; no value if it never was. Must be called at least every
 * kPauseThreshold, as a longer gap counts as a pause of the process.
 */
void RecordConfirmation(VersionTable& table,
                        const std::optional<TimePoint>& confirmed,
                        TimePoint now);

/**
 * Puts a checked version in force if it is newer, without its planned changes.
 */
ApplyOutcome AdoptWithoutPlannedChanges(VersionTable& table,
                                        VersionPtr candidate);

/**
 * Puts a checked version in force if it is newer, with the planned changes
 * that are due at `now`. A conflicting version is added to the rejected ones.
 */
ApplyOutcome AdoptVersionIfNewer(VersionTable& table,
                                 const VersionPtr& candidate,
                                 WallTime now);

/**
 * Applies planned changes that have become due. Returns the changed version,
 * now in force, or null if nothing changed.
 */
VersionPtr RefreshPlannedChanges(VersionTable& table, WallTime now);

/** When the next planned change is due; no value if there is none. */
std::optional<WallTime> NextPlannedChange(const VersionTable& table);

/** Records a document that failed its checks, so it is not requested again. */
void AddRejectedDocument(VersionTable& table, RejectedDocument document);

bool IsRejected(const VersionTable& table,
                uint64_t version,
                const std::string& digest);

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_VERSION_TABLE_H_
