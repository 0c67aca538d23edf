#ifndef PROCESS_SERVERS_SHARE_HISTORY_H_
#define PROCESS_SERVERS_SHARE_HISTORY_H_

#include <optional>
#include <vector>

#include "process/clock.h"

namespace mangodoor {

/**
 * Longest time until every instance that routes has a new version (3 s) and
 * requests sent under an old one have ended.
 */
constexpr Duration kVersionPropagationTime = std::chrono::seconds(10);

/** This instance's place among the entry addresses of one version. */
struct AddressRank {
  /** No value if the own address is not listed. */
  std::optional<int> rank;
  int count = 0;
  /** Counts until this time; the last place has no end. */
  TimePoint until = TimePoint::max();
};

/** Places under the version in force and those it replaced lately. */
using ShareHistory = std::vector<AddressRank>;

/** Adds the place under a new version and drops places that have ended. */
void AddRank(ShareHistory& history, AddressRank address_rank, TimePoint now);

/**
 * The part of `total` units that this instance may use: the smallest under
 * all places that still count. Instances that have different versions then
 * have at least one place list in common, so their parts sum to at most
 * `total`.
 */
int SafeShare(const ShareHistory& history, int total, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SHARE_HISTORY_H_
