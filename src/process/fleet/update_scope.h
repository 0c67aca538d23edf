#ifndef PROCESS_FLEET_UPDATE_SCOPE_H_
#define PROCESS_FLEET_UPDATE_SCOPE_H_

#include <map>
#include <vector>

#include "process/fleet/member_list.h"

namespace mangodoor {

/** Which members' updates a peer is sent, from the fewest to the most. */
enum class UpdateScope {
  /** This instance only, since nothing is known about the peer yet. */
  kSelf,
  /** The hubs of the peer's own data centre, so that it can link to them. */
  kPeerHubs,
  /**
   * Between hubs of two data centres, at least one of them a leader: this data
   * centre, and the hubs of all others.
   */
  kDataCentre,
  /** Between a hub and an instance of its data centre: all members. */
  kFleet,
};

/** Ranks of the hubs of all data centres. */
using HubRanks = std::map<InstanceId, size_t>;

HubRanks RankHubs(const MemberList& member_list);

/** The scope of updates to a peer. */
UpdateScope ScopeFor(const MemberList& member_list,
                     const HubRanks& hubs,
                     const InstanceId& peer);

/** Which updates a link carries, and which of them have been sent. */
struct LinkSyncState {
  InstanceId peer;
  UpdateScope scope = UpdateScope::kSelf;
  /** The peer has been sent all changes in `scope` up to this one. */
  uint64_t sent_change = 0;
  /** Number of the latest change when the link was opened. */
  uint64_t opened_at_change = 0;
};

/**
 * The updates that the peer has to be sent now. In every scope but kSelf they
 * include members of the peer's data centre that were declared gone, since only
 * such a member itself can refute the declaration. Updates that the peer itself
 * sent over this link are left out.
 */
std::vector<Member> UpdatesFor(const MemberList& member_list,
                               const HubRanks& hubs,
                               const LinkSyncState& link);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_UPDATE_SCOPE_H_
