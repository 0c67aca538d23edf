#include "process/fleet/capacity_grant.h"

#include <algorithm>

#include "process/fleet/advertised_instances.h"
#include "process/fleet/instance_count.h"
#include "process/fleet/link_plan.h"
#include "process/servers/instance_shares.h"

namespace mangodoor {
namespace {

// An instance may take this long after its start to find the others. Until
// then, or until it is linked with one that runs for longer, it assumes that
// its data centre has at least kAssumedInstances, so that groups which have not
// found each other use only a part of the limits.
constexpr Duration kJoinTime = std::chrono::seconds(10);

// The functions in this namespace are called with the table locked.

/** True if this instance runs for long enough to have found the others. */
bool IsSettled(const FleetTable& table, TimePoint now) {
  return table.first_tick && now - *table.first_tick >= kJoinTime;
}

/** True if this instance's own grant has not expired. */
bool HoldsOwnGrant(const FleetTable& table, TimePoint now) {
  return table.held_grant &&
         table.held_grant->leader == table.member_list.self.id &&
         now < table.held_grant->until;
}

/** True if another leader's grant may still be in use at some instance. */
bool MayOverlap(const FleetTable& table, TimePoint now) {
  const MemberList& member_list = table.member_list;
  if (!member_list.leader_since)
    return true;
  // After a short stall, this instance's grant is still valid. Another one
  // leads only after SilenceLimits::instance, and then waits for kGrantValid.
  if (HoldsOwnGrant(table, now))
    return false;
  const TimePoint leading_since =
      std::max(*member_list.leader_since, member_list.watching_since);
  if (now - leading_since < kGrantValid)
    return true;
  return table.held_grant &&
         table.held_grant->leader != table.member_list.self.id &&
         now < table.held_grant->until;
}

/**
 * Part of the limits that the reachable instances may use. Instances that were
 * declared gone may be cut off and running, and then use a part themselves. The
 * parts of all groups add up to at most 1.5, since only one group can be the
 * majority.
 */
double PartOfGroup(int live, int known) {
  return 2 * live > known ? 1 : static_cast<double>(live) / known;
}

/** Number of instances that were declared gone in this data centre. */
int CountGoneHere(const MemberList& member_list) {
  const auto gone =
      std::count_if(member_list.members.begin(), member_list.members.end(),
                    [&member_list](const auto& known) {
                      const Member& member = known.second.member;
                      return member.state == MemberState::kGone &&
                             member.data_centre == member_list.self.data_centre;
                    });
  return static_cast<int>(gone);
}

/** Fills in what is granted for the servers of other data centres. */
void GrantElsewhere(const FleetTable& table,
                    const std::vector<Member>& live,
                    const GrantInputs& inputs,
                    CapacityGrant& grant) {
  std::set<DataCentreId> attended;
  for (const Member& member : live)
    attended.insert(member.data_centre);
  std::set<DataCentreId> all = inputs.server_data_centres;
  for (const DataCentreId& data_centre : KnownDataCentres(table.member_list))
    all.insert(data_centre);
  grant.data_centres = static_cast<int>(all.size());
  // The data centres out of reach can have instances and divide the servers
  // here, or those of others, as well.
  if (2 * attended.size() <= all.size()) {
    grant.part /= 2;
    return;
  }
  std::set_difference(all.begin(), all.end(), attended.begin(), attended.end(),
                      std::back_inserter(grant.unattended));
}

CapacityGrant MakeGrant(const FleetTable& table,
                        const GrantInputs& inputs,
                        TimePoint now) {
  const DataCentreId& own_data_centre = table.member_list.self.data_centre;
  std::vector<Member> live;
  CapacityGrant grant;
  grant.instances = 0;
  for (const Member* member : LiveMembers(table.member_list)) {
    live.push_back(*member);
    grant.instances += member->data_centre == own_data_centre ? 1 : 0;
  }
  int known = grant.instances + CountGoneHere(table.member_list);
  if (!IsSettled(table, now) && !table.knows_settled_peer)
    known = std::max(known, kAssumedInstances);
  grant.part = PartOfGroup(grant.instances, known);
  for (const Member* member :
       SelectAdvertisedInstances(live, own_data_centre, inputs.requests_per_s))
    grant.advertised.push_back(member->id);
  GrantElsewhere(table, live, inputs, grant);
  return grant;
}

}  // namespace

void RenewGrant(FleetTable& table, const GrantInputs& inputs, TimePoint now) {
  OrderedLock lock(table.mutex);
  if (MayOverlap(table, now) || !table.has_joined)
    return;
  table.held_grant = HeldGrant{MakeGrant(table, inputs, now),
                               table.member_list.self.id, now + kGrantValid};
}

void RecordGrant(FleetTable& table,
                 const InstanceId& from,
                 const FleetHeartbeat& heartbeat,
                 TimePoint now) {
  OrderedLock lock(table.mutex);
  if (heartbeat.settled && IsInOwnDataCentre(table.member_list, from))
    table.knows_settled_peer = true;
  if (!heartbeat.capacity_grant)
    return;
  const auto ranked =
      RankedMembers(table.member_list, table.member_list.self.data_centre);
  if (ranked.front()->id != from)
    return;
  table.held_grant =
      HeldGrant{*heartbeat.capacity_grant, from, now + kGrantValid};
}

void FillGrant(const FleetTable& table,
               FleetHeartbeat& heartbeat,
               TimePoint now) {
  OrderedLock lock(table.mutex);
  heartbeat.settled = IsSettled(table, now);
  if (HoldsOwnGrant(table, now))
    heartbeat.capacity_grant = table.held_grant->grant;
}

std::optional<HeldGrant> CurrentGrant(const FleetTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  const auto& held = table.held_grant;
  if (!held || now >= held->until)
    return std::nullopt;
  // Another leader may have begun to make grants.
  const bool own = held->leader == table.member_list.self.id;
  if (own && !table.member_list.leader_since)
    return std::nullopt;
  return held;
}

double ShareOf(const CapacityGrant& grant, const InstanceId& instance) {
  const auto& advertised = grant.advertised;
  const bool is_advertised = std::find(advertised.begin(), advertised.end(),
                                       instance) != advertised.end();
  return grant.part *
         PartOf({grant.instances, static_cast<int>(advertised.size())},
                is_advertised);
}

}  // namespace mangodoor
