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
  /** Same version with another digest; the one in force stays. */
  kConflict,
};

/** A document that could not come into force. */
struct RejectedDocument {
  uint64_t version = 0;
  std::string digest;
};

/** The version in force, how recent it is, and the reads under way. */
struct VersionTable {
  mutable OrderedMutex mutex{LockRank::kVersion};
  /** With the planned changes that are due. */
  VersionPtr in_force;
  /** The same version as its document says, without planned changes. */
  VersionPtr approved;
  std::vector<PlannedChange> applied_changes;
  Freshness freshness;
  /** How long a confirmation allows keyed requests. */
  Duration fresh_for = kFreshFor;
  ReadSchedule reads;
  DocumentRequestState request;
  /** The latest documents that were rejected, oldest first. */
  std::deque<RejectedDocument> rejected;
  /** What the service answered last; 0 and empty before the first answer. */
  uint64_t service_version = 0;
  std::string service_digest;
  PropagationOptions options;
};

/** The version in force, or null before the first one. */
VersionPtr VersionInForce(const VersionTable& table);

/** True if keyed requests may run: the configuration is fresh enough. */
bool MayServeKeyed(const VersionTable& table, TimePoint now);

/**
 * Notes when the version in force was last known to be the latest one, if it
 * ever was. To be called at least every kPauseThreshold: a longer gap is a
 * pause.
 */
void NoteConfirmed(VersionTable& table,
                   const std::optional<TimePoint>& confirmed,
                   TimePoint now);

/** Puts a checked version in force if it is newer. */
ApplyOutcome ApplyCandidate(VersionTable& table, VersionPtr candidate);

/**
 * Puts a checked version in force if it is newer, with the planned changes
 * that are due at `now`. A conflicting one is noted as rejected.
 */
ApplyOutcome ConsiderVersion(VersionTable& table,
                             const VersionPtr& candidate,
                             WallTime now);

/**
 * Applies planned changes that have become due. Returns the version that is in
 * force since then, or null if nothing changed.
 */
VersionPtr RefreshPlannedChanges(VersionTable& table, WallTime now);

/** When a planned change is due next. */
std::optional<WallTime> NextPlannedChange(const VersionTable& table);

/** Notes a document that failed its checks; it is not asked for again. */
void NoteRejected(VersionTable& table, RejectedDocument document);

bool IsRejected(const VersionTable& table,
                uint64_t version,
                const std::string& digest);

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_VERSION_TABLE_H_
