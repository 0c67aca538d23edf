#include "process/fleet/link_plan.h"

#include <algorithm>
#include <map>

namespace mangodoor {
namespace {

// An instance that was killed is started again at the same address.
constexpr Duration kExpectReturn = std::chrono::seconds(60);

// After this time without a sign, other hubs of a data centre are tried too.
constexpr Duration kTryOtherHubs = std::chrono::milliseconds(1200);

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

void Add(Links& links, const Member& member) {
  links.emplace(member.id, ToInstance(member));
}

void AddHubs(Links& links,
             const MemberBook& book,
             const DataCentreId& data_centre,
             size_t count) {
  const auto ranked = RankedMembers(book, data_centre);
  for (size_t i = 0; i < std::min(count, ranked.size()); ++i)
    Add(links, *ranked[i]);
}

bool HeardLately(const MemberBook& book,
                 const DataCentreId& data_centre,
                 TimePoint now) {
  return std::any_of(
      book.members.begin(), book.members.end(), [&](const auto& known) {
        const MemberEntry& entry = known.second;
        return entry.member.data_centre == data_centre && entry.heard_at &&
               now - *entry.heard_at <= kTryOtherHubs;
      });
}

void AddOtherLeads(Links& links, const MemberBook& book, TimePoint now) {
  for (const DataCentreId& data_centre : KnownDataCentres(book)) {
    if (data_centre == book.self.data_centre)
      continue;
    const bool heard = HeardLately(book, data_centre, now);
    AddHubs(links, book, data_centre, heard ? 1 : kHubsPerDataCentre);
  }
}

/** Instances that may have been started again without knowing anyone. */
void AddReturning(Links& links, const MemberBook& book, TimePoint now) {
  std::map<DataCentreId, size_t> added;
  for (const auto& [id, entry] : book.members) {
    if (entry.member.state != MemberState::kGone ||
        now - entry.changed_at > kExpectReturn)
      continue;
    const bool own = entry.member.data_centre == book.self.data_centre;
    if (own || ++added[entry.member.data_centre] <= kHubsPerDataCentre)
      Add(links, entry.member);
  }
}

void AddSeeds(Links& links,
              const MemberBook& book,
              const std::vector<Endpoint>& seeds) {
  for (const Endpoint& seed : seeds) {
    Instance instance;
    instance.id = IdOfEndpoint(seed);
    instance.peer_endpoint = seed;
    const auto known = book.members.find(instance.id);
    if (known == book.members.end() ||
        known->second.member.state == MemberState::kGone)
      links.emplace(instance.id, instance);
  }
}

}  // namespace

std::vector<Instance> PlanLinks(const MemberBook& book,
                                const std::vector<Endpoint>& seeds,
                                TimePoint now) {
  Links links;
  AddHubs(links, book, book.self.data_centre, kHubsPerDataCentre);
  if (OwnRank(book) == 0) {
    AddOtherLeads(links, book, now);
    AddReturning(links, book, now);
  }
  AddSeeds(links, book, seeds);
  links.erase(book.self.id);
  std::vector<Instance> plan;
  plan.reserve(links.size());
  for (const auto& [id, instance] : links)
    plan.push_back(instance);
  return plan;
}

bool IsInOwnDataCentre(const MemberBook& book, const InstanceId& peer) {
  const auto known = book.members.find(peer);
  return known != book.members.end() &&
         known->second.member.data_centre == book.self.data_centre;
}

}  // namespace mangodoor
