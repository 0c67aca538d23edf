#ifndef PROCESS_FLEET_UPDATE_SCOPE_H_
#define PROCESS_FLEET_UPDATE_SCOPE_H_

#include <map>
#include <vector>

#include "process/fleet/member_list.h"

namespace mangodoor {

/** How much of the fleet another instance is told, from least to most. */
enum class UpdateScope {
  /** This instance only: nothing is known of the other one yet. */
  kSelf,
  /** What lets it find the hubs of its own data centre. */
  kPeerHubs,
  /** Between the leads of data centres: the own one, and hubs of others. */
  kDataCentre,
  /** Within a data centre: everything. */
  kFleet,
};

/** Ranks of the hubs of all data centres. */
using HubRanks = std::map<InstanceId, size_t>;

HubRanks RankHubs(const MemberList& member_list);

/** How much the peer is told. */
UpdateScope ScopeFor(const MemberList& member_list,
                     const HubRanks& hubs,
                     const InstanceId& peer);

/** What a link has carried, and may carry. */
struct LinkSyncState {
  InstanceId peer;
  UpdateScope scope = UpdateScope::kSelf;
  /** The peer was told what it is to be told up to this change. */
  uint64_t sent_change = 0;
  /** What the peer said before this change, it may have forgotten. */
  uint64_t opened_at_change = 0;
};

/**
 * What the peer is told now. It is told that members of its own data centre
 * are held to be gone in every scope, since these alone can deny it, and
 * nothing that it said itself over the same link.
 */
std::vector<Member> UpdatesFor(const MemberList& member_list,
                               const HubRanks& hubs,
                               const LinkSyncState& link);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_UPDATE_SCOPE_H_
