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
   * Between hubs of two data centres, at least one of them a leader: both data
   * centres, and the hubs of all others.
   */
  kBothDataCentres,
  /** Between a hub and an instance of its data centre: all members. */
  kFleet,
};

/** A hub of any data centre. */
struct Hub {
  size_t rank = 0;
  /** Number of the latest change when it was first found to be a hub. */
  uint64_t since_change = 0;
};

using Hubs = std::map<InstanceId, Hub>;

/** Replaces `hubs` by the present hubs of all data centres. */
void UpdateHubs(Hubs& hubs, const MemberList& member_list);

/** The scope of updates to a peer. */
UpdateScope ScopeFor(const MemberList& member_list,
                     const Hubs& hubs,
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
 * such a member itself can refute the declaration. A member that comes into the
 * scope because it becomes a hub is sent then, however old its own change is.
 * Updates that the peer itself sent over this link are left out.
 */
std::vector<Member> UpdatesFor(const MemberList& member_list,
                               const Hubs& hubs,
                               const LinkSyncState& link);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_UPDATE_SCOPE_H_
