#include "process/fleet/fleet_table.h"

#include <algorithm>
#include <utility>

#include "process/fleet/link_plan.h"

namespace mangodoor {
namespace {

// Gone instances are remembered longer than a lagging peer may name them.
constexpr Duration kRememberGone = std::chrono::seconds(120);

// Two ticks further apart than this mean that the process did not run.
constexpr Duration kPauseGap = std::chrono::milliseconds(800);

// The functions below are called with the table locked.

void SendNews(FleetTable& table, FleetActions& actions) {
  const MemberBook& book = table.book;
  const bool none_due = std::all_of(
      table.links.begin(), table.links.end(), [&book](const auto& link) {
        return link.second.sent_change >= book.last_change;
      });
  if (none_due)
    return;
  const HubRanks hubs = RankHubs(book);
  for (auto& [peer, link] : table.links) {
    const NewsScope scope = ScopeFor(book, hubs, peer);
    // What was left out in a narrower scope is due now.
    if (scope > link.scope)
      link.sent_change = 0;
    link.scope = scope;
    if (link.sent_change >= book.last_change)
      continue;
    MemberNews news{NewsFor(
        book, hubs, {peer, scope, link.sent_change, link.opened_at_change})};
    link.sent_change = book.last_change;
    if (!news.members.empty())
      actions.messages.push_back({peer, std::move(news)});
  }
}

void FindDueBeats(FleetTable& table, TimePoint now, FleetActions& actions) {
  for (auto& [peer, link] : table.links) {
    const Duration spacing =
        IsInOwnDataCentre(table.book, peer) ? kNearBeat : kFarBeat;
    if (link.beat_at && now - *link.beat_at < spacing)
      continue;
    link.beat_at = now;
    actions.beats.push_back(peer);
  }
}

FleetView MakeView(const FleetTable& table) {
  FleetView view;
  view.self = table.book.self;
  for (const Member* member : LiveMembers(table.book))
    view.live.push_back(*member);
  const auto ranked = RankedMembers(table.book, table.book.self.data_centre);
  for (size_t i = 0; i < ranked.size(); ++i) {
    if (ranked[i]->id == table.book.self.id)
      view.rank = i;
    else if (table.links.count(ranked[i]->id) > 0)
      view.neighbours[ranked[i]->id] = i;
  }
  for (const auto& [peer, link] : table.links) {
    if (view.neighbours.count(peer) == 0)
      view.far.push_back(peer);
  }
  return view;
}

}  // namespace

FleetActions TickFleet(FleetTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  if (!table.last_tick || now - *table.last_tick > kPauseGap)
    table.book.watching_since = now;
  table.last_tick = now;
  FleetActions actions;
  actions.gone = DeclareGone(table.book, {}, now);
  ForgetGone(table.book, kRememberGone, now);
  SendNews(table, actions);
  FindDueBeats(table, now, actions);
  actions.links = PlanLinks(table.book, table.seeds, now);
  return actions;
}

void OpenLink(FleetTable& table, const InstanceId& peer, TimePoint now) {
  OrderedLock lock(table.mutex);
  FleetLink link;
  link.opened_at_change = table.book.last_change;
  table.links[peer] = link;
  ++table.link_changes;
  Hear(table.book, peer, now);
}

void CloseLink(FleetTable& table, const InstanceId& peer) {
  OrderedLock lock(table.mutex);
  table.links.erase(peer);
  ++table.link_changes;
}

void HearFrom(FleetTable& table, const InstanceId& from, TimePoint now) {
  OrderedLock lock(table.mutex);
  Hear(table.book, from, now);
}

std::vector<Member> HandleMemberNews(FleetTable& table,
                                     const InstanceId& from,
                                     const MemberNews& news,
                                     TimePoint now) {
  OrderedLock lock(table.mutex);
  std::vector<Member> changed;
  for (const Member& member : news.members) {
    if (Learn(table.book, from, member, now) && member.id != table.book.self.id)
      changed.push_back(member);
  }
  Hear(table.book, from, now);
  return changed;
}

void CountCalls(FleetTable& table, uint64_t total, TimePoint now) {
  OrderedLock lock(table.mutex);
  CountCalls(table.calls, total, now);
}

void HearCalls(FleetTable& table,
               const InstanceId& from,
               const MemberBeat& beat,
               TimePoint now) {
  OrderedLock lock(table.mutex);
  const auto known = table.book.members.find(from);
  if (known == table.book.members.end())
    return;
  const DataCentreId& data_centre = known->second.member.data_centre;
  HearCalls(table.calls, from, data_centre,
            data_centre == table.book.self.data_centre, beat, now);
}

void StateCalls(const FleetTable& table, MemberBeat& beat, TimePoint now) {
  OrderedLock lock(table.mutex);
  beat.calls_per_s = RateFor(table.calls, beat.scope, now);
  beat.own_calls_per_s = table.calls.own_per_s;
}

void BeginLeaving(FleetTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  Leave(table.book, now);
}

FleetViewPtr ViewFleet(const FleetTable& table) {
  OrderedLock lock(table.mutex);
  const std::pair changes(table.book.last_change, table.link_changes);
  if (!table.view || table.view_made_of != changes) {
    table.view = std::make_shared<const FleetView>(MakeView(table));
    table.view_made_of = changes;
  }
  return table.view;
}

double FleetCallsPerS(const FleetTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  return FleetCallsPerS(table.calls, now);
}

}  // namespace mangodoor
