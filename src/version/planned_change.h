#ifndef VERSION_PLANNED_CHANGE_H_
#define VERSION_PLANNED_CHANGE_H_

#include <optional>
#include <vector>

#include "process/clock.h"
#include "version/version.h"

namespace mangodoor {

bool operator==(const PlannedChange& a, const PlannedChange& b);

/**
 * The planned changes of `document` that are in force, in the order of their
 * times: those that are due at `now`, and those in `applied`, which stay in
 * force even if the wall clock has gone back since.
 */
std::vector<PlannedChange> ChangesInForce(
    const Document& document,
    const std::vector<PlannedChange>& applied,
    WallTime now);

/** Applies `changes` in order. The version number does not change. */
Document ApplyPlannedChanges(Document document,
                             const std::vector<PlannedChange>& changes);

/** The earliest time of a change that is not in `applied`. */
std::optional<WallTime> NextPlannedChange(
    const Document& document,
    const std::vector<PlannedChange>& applied);

/** `approved` with `changes` applied; `approved` itself if there are none. */
VersionPtr WithPlannedChanges(const VersionPtr& approved,
                              const std::vector<PlannedChange>& changes);

}  // namespace mangodoor

#endif  // VERSION_PLANNED_CHANGE_H_
