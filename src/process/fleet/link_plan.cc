#include "process/fleet/link_plan.h"

#include <algorithm>
#include <map>

namespace mangodoor {
namespace {

// An instance that was killed is restarted at the same address. For this long
// the leader keeps trying to reach it.
constexpr Duration kRejoinWindow = std::chrono::seconds(60);

// After this time without a message from a data centre, the leader links to its
// other hubs, too.
constexpr Duration kTryOtherHubsAfter = std::chrono::milliseconds(1200);

using Links = std::map<InstanceId, Instance>;

Instance ToInstance(const Member& member) {
  Instance instance;
  instance.id = member.id;
  instance.data_centre = member.data_centre;
  instance.caller_endpoint = member.caller_endpoint;
  instance.peer_endpoint = member.peer_endpoint;
  instance.leaving = member.state == MemberState::kLeaving;
  return instance;
}

void AddLink(Links& links, const Member& member) {
  links.emplace(member.id, ToInstance(member));
}

void AddHubs(Links& links,
             const MemberList& member_list,
             const DataCentreId& data_centre,
             size_t count) {
  const auto ranked = RankedMembers(member_list, data_centre);
  for (size_t i = 0; i < std::min(count, ranked.size()); ++i)
    AddLink(links, *ranked[i]);
}

bool HeardRecently(const MemberList& member_list,
                   const DataCentreId& data_centre,
                   TimePoint now) {
  return std::any_of(member_list.members.begin(), member_list.members.end(),
                     [&](const auto& known) {
                       const MemberEntry& entry = known.second;
                       return entry.member.data_centre == data_centre &&
                              entry.last_heard &&
                              now - *entry.last_heard <= kTryOtherHubsAfter;
                     });
}

void AddOtherLeaders(Links& links,
                     const MemberList& member_list,
                     TimePoint now) {
  for (const DataCentreId& data_centre : KnownDataCentres(member_list)) {
    if (data_centre == member_list.self.data_centre)
      continue;
    const bool heard_recently = HeardRecently(member_list, data_centre, now);
    AddHubs(links, member_list, data_centre,
            heard_recently ? 1 : kHubsPerDataCentre);
  }
}

/** Adds instances that may have been restarted without knowing any other. */
void AddRecentlyGone(Links& links,
                     const MemberList& member_list,
                     TimePoint now) {
  std::map<DataCentreId, size_t> added;
  for (const auto& [id, entry] : member_list.members) {
    if (entry.member.state != MemberState::kGone ||
        now - entry.changed_at > kRejoinWindow)
      continue;
    const bool in_own_data_centre =
        entry.member.data_centre == member_list.self.data_centre;
    if (in_own_data_centre ||
        ++added[entry.member.data_centre] <= kHubsPerDataCentre)
      AddLink(links, entry.member);
  }
}

void AddSeeds(Links& links,
              const MemberList& member_list,
              const std::vector<Endpoint>& seeds) {
  for (const Endpoint& seed : seeds) {
    Instance instance;
    instance.id = IdOfEndpoint(seed);
    instance.peer_endpoint = seed;
    const auto known = member_list.members.find(instance.id);
    if (known == member_list.members.end() ||
        known->second.member.state == MemberState::kGone)
      links.emplace(instance.id, instance);
  }
}

}  // namespace

std::vector<Instance> PlanLinks(const MemberList& member_list,
                                const std::vector<Endpoint>& seeds,
                                TimePoint now) {
  Links links;
  AddHubs(links, member_list, member_list.self.data_centre, kHubsPerDataCentre);
  if (OwnRank(member_list) == 0) {
    AddOtherLeaders(links, member_list, now);
    AddRecentlyGone(links, member_list, now);
  }
  AddSeeds(links, member_list, seeds);
  links.erase(member_list.self.id);
  std::vector<Instance> plan;
  plan.reserve(links.size());
  for (const auto& [id, instance] : links)
    plan.push_back(instance);
  return plan;
}

bool IsInOwnDataCentre(const MemberList& member_list, const InstanceId& peer) {
  const auto known = member_list.members.find(peer);
  return known != member_list.members.end() &&
         known->second.member.data_centre == member_list.self.data_centre;
}

}  // namespace mangodoor
