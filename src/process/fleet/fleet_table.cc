#include "process/fleet/fleet_table.h"

#include <algorithm>
#include <utility>

#include "process/fleet/instance_count.h"
#include "process/fleet/link_plan.h"

namespace mangodoor {
namespace {

// Entries of gone instances are kept for this long, so that they outlast every
// late update in which a lagging peer still reports the instance as live.
constexpr Duration kGoneRetention = std::chrono::seconds(120);

// A longer gap between two ticks means that the process was paused.
constexpr Duration kMaxTickGap = std::chrono::milliseconds(800);

// The functions in this namespace are called with the table locked.

void SendUpdates(FleetTable& table, FleetActions& actions) {
  const MemberList& member_list = table.member_list;
  const bool none_due = std::all_of(
      table.links.begin(), table.links.end(), [&member_list](const auto& link) {
        return link.second.sent_change >= member_list.last_change;
      });
  if (none_due)
    return;
  UpdateHubs(table.hubs, member_list);
  for (auto& [peer, link] : table.links) {
    const UpdateScope scope = ScopeFor(member_list, table.hubs, peer);
    // Members that the narrower scope left out have to be sent now.
    if (scope > link.scope)
      link.sent_change = 0;
    link.scope = scope;
    if (link.sent_change >= member_list.last_change)
      continue;
    MemberUpdate update{
        UpdatesFor(member_list, table.hubs,
                   {peer, scope, link.sent_change, link.opened_at_change})};
    link.sent_change = member_list.last_change;
    if (!update.members.empty())
      actions.messages.push_back({peer, std::move(update)});
  }
}

void FindDueHeartbeats(FleetTable& table,
                       TimePoint now,
                       FleetActions& actions) {
  for (auto& [peer, link] : table.links) {
    const Duration interval = IsInOwnDataCentre(table.member_list, peer)
                                  ? kLocalHeartbeatInterval
                                  : kRemoteHeartbeatInterval;
    if (link.heartbeat_at && now - *link.heartbeat_at < interval)
      continue;
    link.heartbeat_at = now;
    actions.heartbeats.push_back(peer);
  }
}

// A hub with less of the leader's processor time than one part in this many
// sends nothing to the other instances: it would take longer than the others,
// and its link is probably slower, too.
constexpr int kLeaderToHubRatio = 2;

/** Number of hubs that are large enough to send to the other instances. */
size_t CountPushingHubs(const std::vector<const Member*>& ranked) {
  size_t count = 1;
  while (count < std::min(kHubsPerDataCentre, ranked.size()) &&
         ranked[count]->millicores * kLeaderToHubRatio >= ranked[0]->millicores)
    ++count;
  return count;
}

FleetView MakeView(const FleetTable& table) {
  FleetView view;
  view.self = table.member_list.self;
  for (const Member* member : LiveMembers(table.member_list))
    view.live.push_back(*member);
  const auto ranked =
      RankedMembers(table.member_list, table.member_list.self.data_centre);
  view.pushing_hubs = CountPushingHubs(ranked);
  for (size_t i = 0; i < ranked.size(); ++i) {
    if (ranked[i]->id == table.member_list.self.id)
      view.rank = i;
    else if (table.links.count(ranked[i]->id) > 0)
      view.local_peers[ranked[i]->id] = i;
  }
  for (const auto& [peer, link] : table.links) {
    if (view.local_peers.count(peer) == 0)
      view.remote_peers.push_back(peer);
  }
  return view;
}

/** True if this instance has ever known others, or has no seed but itself. */
bool HasJoined(const FleetTable& table) {
  const MemberList& member_list = table.member_list;
  return table.has_joined || !member_list.members.empty() ||
         std::all_of(table.seeds.begin(), table.seeds.end(),
                     [&member_list](const Endpoint& seed) {
                       return seed == member_list.self.peer_endpoint;
                     });
}

}  // namespace

FleetActions TickFleet(FleetTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  if (!table.last_tick || now - *table.last_tick > kMaxTickGap)
    table.member_list.watching_since = now;
  table.last_tick = now;
  if (!table.first_tick)
    table.first_tick = now;
  FleetActions actions;
  actions.gone = DeclareGone(table.member_list, {}, now);
  ForgetGone(table.member_list, kGoneRetention, now);
  table.has_joined = HasJoined(table);
  UpdateFleetSize(table.size,
                  static_cast<int>(LiveMembers(table.member_list).size()),
                  table.member_list.left, now);
  SendUpdates(table, actions);
  FindDueHeartbeats(table, now, actions);
  actions.links = PlanLinks(table.member_list, table.seeds, now);
  return actions;
}

void OpenLink(FleetTable& table, const InstanceId& peer, TimePoint now) {
  OrderedLock lock(table.mutex);
  FleetLink link;
  link.opened_at_change = table.member_list.last_change;
  table.links[peer] = link;
  ++table.link_changes;
  RecordMessage(table.member_list, peer, now);
}

void CloseLink(FleetTable& table, const InstanceId& peer) {
  OrderedLock lock(table.mutex);
  table.links.erase(peer);
  ++table.link_changes;
}

void RecordMessageFrom(FleetTable& table,
                       const InstanceId& from,
                       TimePoint now) {
  OrderedLock lock(table.mutex);
  RecordMessage(table.member_list, from, now);
}

std::vector<Member> HandleMemberUpdate(FleetTable& table,
                                       const InstanceId& from,
                                       const MemberUpdate& update,
                                       TimePoint now) {
  OrderedLock lock(table.mutex);
  std::vector<Member> changed;
  for (const Member& member : update.members) {
    if (ApplyUpdate(table.member_list, from, member, now) &&
        member.id != table.member_list.self.id)
      changed.push_back(member);
  }
  RecordMessage(table.member_list, from, now);
  return changed;
}

void CountRequests(FleetTable& table, uint64_t total, TimePoint now) {
  OrderedLock lock(table.mutex);
  CountRequests(table.request_rates, total, now);
}

void RecordPeerRequestRates(FleetTable& table,
                            const InstanceId& from,
                            const FleetHeartbeat& heartbeat,
                            TimePoint now) {
  OrderedLock lock(table.mutex);
  const auto known = table.member_list.members.find(from);
  if (known == table.member_list.members.end())
    return;
  const DataCentreId& data_centre = known->second.member.data_centre;
  RecordPeerRequestRates(table.request_rates, from, data_centre,
                         data_centre == table.member_list.self.data_centre,
                         heartbeat, now);
}

void FillRequestRates(const FleetTable& table,
                      FleetHeartbeat& heartbeat,
                      TimePoint now) {
  OrderedLock lock(table.mutex);
  heartbeat.requests_per_s = RateFor(table.request_rates, heartbeat.scope, now);
  heartbeat.own_requests_per_s = table.request_rates.own_per_s;
}

void BeginLeaving(FleetTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  SetLeaving(table.member_list, now);
}

FleetViewPtr ViewFleet(const FleetTable& table) {
  OrderedLock lock(table.mutex);
  const std::pair changes(table.member_list.last_change, table.link_changes);
  if (!table.view || table.view_changes != changes) {
    table.view = std::make_shared<const FleetView>(MakeView(table));
    table.view_changes = changes;
  }
  return table.view;
}

int InstancesSharingLimits(const FleetTable& table) {
  OrderedLock lock(table.mutex);
  return table.has_joined ? table.size.count
                          : std::max(table.size.count, kAssumedInstances);
}

double FleetRequestsPerS(const FleetTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  return FleetRequestsPerS(table.request_rates, now);
}

}  // namespace mangodoor
