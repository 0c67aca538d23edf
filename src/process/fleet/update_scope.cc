#include "process/fleet/update_scope.h"

#include <algorithm>

namespace mangodoor {
namespace {

bool IsLead(const HubRanks& hubs, const InstanceId& id) {
  const auto rank = hubs.find(id);
  return rank != hubs.end() && rank->second == 0;
}

bool IsTold(const MemberEntry& entry,
            const MemberBook& book,
            const HubRanks& hubs,
            NewsScope scope,
            const DataCentreId& peers_data_centre) {
  const Member& member = entry.member;
  const bool is_hub = hubs.count(member.id) > 0;
  const bool is_its_own = member.data_centre == peers_data_centre;
  if (is_its_own && (is_hub || member.state == MemberState::kGone))
    return scope != NewsScope::kSelf;
  switch (scope) {
    case NewsScope::kSelf:
    case NewsScope::kItsHubs:
      return false;
    case NewsScope::kDataCentre:
      return is_hub || member.data_centre == book.self.data_centre;
    case NewsScope::kFleet:
      return true;
  }
  return true;
}

}  // namespace

HubRanks RankHubs(const MemberBook& book) {
  HubRanks hubs;
  for (const DataCentreId& data_centre : KnownDataCentres(book)) {
    const auto ranked = RankedMembers(book, data_centre);
    for (size_t i = 0; i < std::min(kHubsPerDataCentre, ranked.size()); ++i)
      hubs[ranked[i]->id] = i;
  }
  return hubs;
}

NewsScope ScopeFor(const MemberBook& book,
                   const HubRanks& hubs,
                   const InstanceId& peer) {
  const auto known = book.members.find(peer);
  if (known == book.members.end())
    return NewsScope::kSelf;
  const InstanceId& self = book.self.id;
  const bool both_hubs = hubs.count(self) > 0 && hubs.count(peer) > 0;
  if (known->second.member.data_centre == book.self.data_centre) {
    // Others look for the hubs, which then tell them the rest.
    return hubs.count(self) > 0 || hubs.count(peer) > 0 ? NewsScope::kFleet
                                                        : NewsScope::kItsHubs;
  }
  // A lead that does not reach another one keeps a link to its other hubs.
  return both_hubs && (IsLead(hubs, self) || IsLead(hubs, peer))
             ? NewsScope::kDataCentre
             : NewsScope::kItsHubs;
}

std::vector<Member> NewsFor(const MemberBook& book,
                            const HubRanks& hubs,
                            const NewsLink& link) {
  std::vector<Member> news;
  if (book.own_change > link.told_up_to)
    news.push_back(book.self);
  const auto known = book.members.find(link.peer);
  const DataCentreId data_centre = known == book.members.end()
                                       ? DataCentreId()
                                       : known->second.member.data_centre;
  for (const auto& [id, entry] : book.members) {
    const bool said_it =
        entry.told_by == link.peer && entry.change > link.opened_at;
    if (entry.change > link.told_up_to && !said_it &&
        IsTold(entry, book, hubs, link.scope, data_centre))
      news.push_back(entry.member);
  }
  return news;
}

}  // namespace mangodoor
