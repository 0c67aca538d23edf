#ifndef PROCESS_SERVERS_SHARE_HISTORY_H_
#define PROCESS_SERVERS_SHARE_HISTORY_H_

#include <optional>
#include <vector>

#include "process/clock.h"

namespace mangodoor {

/**
 * Upper bound of the time until every instance that routes requests has a new
 * version (3 s) and requests sent under the old one have ended.
 */
constexpr Duration kVersionPropagationTime = std::chrono::seconds(10);

/**
 * Rank of this instance for one server among the entry addresses of a version.
 */
struct AddressRank {
  /** No value if this instance's address is not listed. */
  std::optional<int> rank;
  int count = 0;
  /** The rank applies until this time; the latest one has no end. */
  TimePoint until = TimePoint::max();
};

/** Ranks under the version in force and the versions replaced recently. */
using ShareHistory = std::vector<AddressRank>;

/** Adds the rank under a new version and removes ranks that have ended. */
void AddRank(ShareHistory& history, AddressRank address_rank, TimePoint now);

/**
 * This instance's share of `total` units: the smallest of its shares under all
 * ranks that still apply. Instances with different versions then have at least
 * one address list in common, so their shares add up to at most `total`.
 */
int SafeShare(const ShareHistory& history, int total, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SHARE_HISTORY_H_
