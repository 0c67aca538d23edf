#include "process/fleet/update_scope.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace mangodoor {
namespace {

bool IsLeader(const Hubs& hubs, const InstanceId& id) {
  const auto hub = hubs.find(id);
  return hub != hubs.end() && hub->second.rank == 0;
}

/** True if the scope includes a member whether or not it is a hub. */
bool IsAlwaysInScope(const Member& member,
                     const MemberList& member_list,
                     UpdateScope scope,
                     const DataCentreId& peer_data_centre) {
  if (scope == UpdateScope::kSelf)
    return false;
  if (scope == UpdateScope::kFleet)
    return true;
  // An instance may have reached only other data centres before it stopped. The
  // hubs of its own one can notice its silence only if they are told of it.
  if (member.data_centre == peer_data_centre)
    return scope == UpdateScope::kBothDataCentres ||
           member.state == MemberState::kGone;
  return scope == UpdateScope::kBothDataCentres &&
         member.data_centre == member_list.self.data_centre;
}

/** True if the scope includes the hubs of a data centre. */
bool IncludesHubsOf(const DataCentreId& data_centre,
                    UpdateScope scope,
                    const DataCentreId& peer_data_centre) {
  if (scope == UpdateScope::kPeerHubs)
    return data_centre == peer_data_centre;
  return scope != UpdateScope::kSelf;
}

/**
 * Number of the latest change by which a member's state came into the scope:
 * its own, or the one by which it became a hub. Unset if it is not in scope.
 */
std::optional<uint64_t> LatestChangeInScope(
    const MemberEntry& entry,
    const MemberList& member_list,
    const Hubs& hubs,
    UpdateScope scope,
    const DataCentreId& peer_data_centre) {
  const Member& member = entry.member;
  if (IsAlwaysInScope(member, member_list, scope, peer_data_centre))
    return entry.change;
  const auto hub = hubs.find(member.id);
  if (hub == hubs.end() ||
      !IncludesHubsOf(member.data_centre, scope, peer_data_centre))
    return std::nullopt;
  return std::max(entry.change, hub->second.since_change);
}

}  // namespace

void UpdateHubs(Hubs& hubs, const MemberList& member_list) {
  Hubs updated;
  for (const DataCentreId& data_centre : KnownDataCentres(member_list)) {
    const auto ranked = RankedMembers(member_list, data_centre);
    for (size_t i = 0; i < std::min(kHubsPerDataCentre, ranked.size()); ++i) {
      const auto known = hubs.find(ranked[i]->id);
      const uint64_t since_change = known == hubs.end()
                                        ? member_list.last_change
                                        : known->second.since_change;
      updated[ranked[i]->id] = {i, since_change};
    }
  }
  hubs = std::move(updated);
}

UpdateScope ScopeFor(const MemberList& member_list,
                     const Hubs& hubs,
                     const InstanceId& peer) {
  const auto known = member_list.members.find(peer);
  if (known == member_list.members.end())
    return UpdateScope::kSelf;
  const InstanceId& self = member_list.self.id;
  const bool both_hubs = hubs.count(self) > 0 && hubs.count(peer) > 0;
  if (known->second.member.data_centre == member_list.self.data_centre) {
    // Between two instances that are not hubs, it is enough to name the hubs,
    // which send all the rest.
    return hubs.count(self) > 0 || hubs.count(peer) > 0
               ? UpdateScope::kFleet
               : UpdateScope::kPeerHubs;
  }
  // Only one of the two has to be a leader: a leader that cannot reach the
  // leader of another data centre links to the other hubs there.
  return both_hubs && (IsLeader(hubs, self) || IsLeader(hubs, peer))
             ? UpdateScope::kBothDataCentres
             : UpdateScope::kPeerHubs;
}

std::vector<Member> UpdatesFor(const MemberList& member_list,
                               const Hubs& hubs,
                               const LinkSyncState& link) {
  std::vector<Member> updates;
  if (member_list.own_change > link.sent_change)
    updates.push_back(member_list.self);
  const auto known = member_list.members.find(link.peer);
  const DataCentreId data_centre = known == member_list.members.end()
                                       ? DataCentreId()
                                       : known->second.member.data_centre;
  for (const auto& [id, entry] : member_list.members) {
    // What the peer sent over an earlier link does not count: it may have
    // restarted since and no longer know it.
    const bool sent_by_peer =
        entry.learned_from == link.peer && entry.change > link.opened_at_change;
    const std::optional<uint64_t> change =
        LatestChangeInScope(entry, member_list, hubs, link.scope, data_centre);
    if (change && *change > link.sent_change && !sent_by_peer)
      updates.push_back(entry.member);
  }
  return updates;
}

}  // namespace mangodoor
