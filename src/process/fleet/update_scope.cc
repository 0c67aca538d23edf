#include "process/fleet/update_scope.h"

#include <algorithm>

namespace mangodoor {
namespace {

bool IsLeader(const HubRanks& hubs, const InstanceId& id) {
  const auto rank = hubs.find(id);
  return rank != hubs.end() && rank->second == 0;
}

bool IsInScope(const MemberEntry& entry,
               const MemberList& member_list,
               const HubRanks& hubs,
               UpdateScope scope,
               const DataCentreId& peer_data_centre) {
  const Member& member = entry.member;
  const bool is_hub = hubs.count(member.id) > 0;
  const bool is_in_peer_data_centre = member.data_centre == peer_data_centre;
  if (is_in_peer_data_centre && (is_hub || member.state == MemberState::kGone))
    return scope != UpdateScope::kSelf;
  switch (scope) {
    case UpdateScope::kSelf:
    case UpdateScope::kPeerHubs:
      return false;
    case UpdateScope::kDataCentre:
      return is_hub || member.data_centre == member_list.self.data_centre;
    case UpdateScope::kFleet:
      return true;
  }
  return true;
}

}  // namespace

HubRanks RankHubs(const MemberList& member_list) {
  HubRanks hubs;
  for (const DataCentreId& data_centre : KnownDataCentres(member_list)) {
    const auto ranked = RankedMembers(member_list, data_centre);
    for (size_t i = 0; i < std::min(kHubsPerDataCentre, ranked.size()); ++i)
      hubs[ranked[i]->id] = i;
  }
  return hubs;
}

UpdateScope ScopeFor(const MemberList& member_list,
                     const HubRanks& hubs,
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
             ? UpdateScope::kDataCentre
             : UpdateScope::kPeerHubs;
}

std::vector<Member> UpdatesFor(const MemberList& member_list,
                               const HubRanks& hubs,
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
    if (entry.change > link.sent_change && !sent_by_peer &&
        IsInScope(entry, member_list, hubs, link.scope, data_centre))
      updates.push_back(entry.member);
  }
  return updates;
}

}  // namespace mangodoor
