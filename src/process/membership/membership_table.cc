#include "process/membership/membership_table.h"

#include <algorithm>

#include "process/membership/freshness.h"
#include "process/membership/peer_selection.h"

namespace mangodoor {
namespace {

// A list can have tens of KB, so a peer that is slow to adopt it is not sent it
// again with each heartbeat.
constexpr Duration kListSendInterval = std::chrono::seconds(1);

// Frequent reads are not needed: the list lags in any case, and peers forward a
// new revision at once.
constexpr Duration kListReadInterval = std::chrono::seconds(4);
constexpr Duration kInitialListReadInterval = std::chrono::seconds(1);

std::vector<Instance> WithoutLeaving(const std::vector<Instance>& instances) {
  std::vector<Instance> live;
  std::copy_if(instances.begin(), instances.end(), std::back_inserter(live),
               [](const Instance& instance) { return !instance.leaving; });
  return live;
}

const Instance* FindListed(const InstanceList& list, const InstanceId& id) {
  for (const Instance& instance : list.instances) {
    if (instance.id == id)
      return &instance;
  }
  return nullptr;
}

}  // namespace

InstanceState OwnState(const MembershipTable& table) {
  OrderedLock lock(table.mutex);
  return table.own_state;
}

void BeginLeaving(MembershipTable& table, TimePoint requests_end) {
  OrderedLock lock(table.mutex);
  table.own_state = InstanceState::kLeaving;
  table.requests_end = requests_end;
}

void EnterService(MembershipTable& table) {
  OrderedLock lock(table.mutex);
  if (table.own_state == InstanceState::kJoining)
    table.own_state = InstanceState::kServing;
}

void SetFenced(MembershipTable& table, bool fenced) {
  OrderedLock lock(table.mutex);
  table.own_fenced = fenced;
}

void CheckForPause(MembershipTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  if (!table.started)
    table.started = now;
  if (table.last_clock_check &&
      now - *table.last_clock_check > kPauseThreshold) {
    for (auto& [id, view] : table.peers) {
      view.last_heard.reset();
      view.read_at.reset();
    }
  }
  KeepLatest(table.last_clock_check, now);
}

bool AdoptList(MembershipTable& table, const InstanceList& list) {
  OrderedLock lock(table.mutex);
  if (list.revision <= table.list.revision)
    return false;
  table.list = list;
  table.selected = SelectPeers(table.self, list.instances);
  return true;
}

InstanceList ListInUse(const MembershipTable& table) {
  OrderedLock lock(table.mutex);
  return table.list;
}

bool RecordHeartbeat(MembershipTable& table,
                     const InstanceId& from,
                     const Heartbeat& heartbeat,
                     TimePoint now) {
  OrderedLock lock(table.mutex);
  if (from == table.self.id)
    return false;
  if (!table.started)
    table.started = now;
  return RecordHeartbeat(table.peers[from], heartbeat, now, *table.started);
}

void ForgetTiming(MembershipTable& table, const InstanceId& peer) {
  OrderedLock lock(table.mutex);
  const auto found = table.peers.find(peer);
  if (found != table.peers.end())
    found->second.sent_stamp.reset();
}

void DropUnlistedPeers(MembershipTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  for (auto peer = table.peers.begin(); peer != table.peers.end();) {
    const bool keep =
        FindListed(table.list, peer->first) ||
        now - peer->second.sent_stamp_received_at <= kReachableFor;
    peer = keep ? std::next(peer) : table.peers.erase(peer);
  }
}

Heartbeat StartHeartbeat(const MembershipTable& table,
                         const InstanceId& to,
                         TimePoint now) {
  OrderedLock lock(table.mutex);
  Heartbeat heartbeat;
  heartbeat.state = table.own_state;
  heartbeat.fenced = table.own_fenced;
  heartbeat.list_revision = table.list.revision;
  const auto found = table.peers.find(to);
  heartbeat.timing =
      TimingFor(found == table.peers.end() ? PeerView{} : found->second, now);
  return heartbeat;
}

bool HeartbeatsDue(MembershipTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  if (table.next_heartbeat && now < *table.next_heartbeat)
    return false;
  // Scheduled from the planned time, so that late ticks do not lengthen the
  // interval, but at least half an interval from now, so that no burst follows
  // a gap.
  const TimePoint planned = table.next_heartbeat.value_or(now);
  table.next_heartbeat = std::max(planned + kMembershipHeartbeatInterval,
                                  now + kMembershipHeartbeatInterval / 2);
  return true;
}

bool ListReadDue(MembershipTable& table, TimePoint now, double random) {
  OrderedLock lock(table.mutex);
  if (table.list_read_running ||
      (table.next_list_read && now < *table.next_list_read))
    return false;
  const Duration interval = table.list.instances.empty()
                                ? kInitialListReadInterval
                                : kListReadInterval;
  table.list_read_running = true;
  table.next_list_read =
      now + std::chrono::duration_cast<Duration>(interval * (0.5 + random));
  return true;
}

void FinishListRead(MembershipTable& table) {
  OrderedLock lock(table.mutex);
  table.list_read_running = false;
}

bool ShouldSendList(MembershipTable& table,
                    const InstanceId& peer,
                    TimePoint now) {
  OrderedLock lock(table.mutex);
  const auto found = table.peers.find(peer);
  if (found == table.peers.end() ||
      found->second.list_revision >= table.list.revision)
    return false;
  std::optional<TimePoint>& sent = found->second.list_sent_at;
  if (sent && now - *sent < kListSendInterval)
    return false;
  sent = now;
  return true;
}

std::vector<Instance> PeersToConnect(const MembershipTable& table) {
  OrderedLock lock(table.mutex);
  return table.selected;
}

FleetReachability ReachabilityOf(const MembershipTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  return SummariseReachability(
      table.self, table.list, WithoutLeaving(table.selected), table.peers, now);
}

std::vector<ReachablePeer> ReachablePeers(const MembershipTable& table,
                                          TimePoint now) {
  OrderedLock lock(table.mutex);
  std::vector<ReachablePeer> reachable;
  for (const auto& [id, view] : table.peers) {
    if (!IsReachable(view, now))
      continue;
    const Instance* listed = FindListed(table.list, id);
    reachable.push_back(
        {id, listed && listed->data_centre == table.self.data_centre,
         view.state, view.version, view.digest, view.read_at});
  }
  std::sort(reachable.begin(), reachable.end(),
            [](const ReachablePeer& a, const ReachablePeer& b) {
              return a.id < b.id;
            });
  return reachable;
}

std::vector<PeerStatus> PeerStatuses(const MembershipTable& table,
                                     TimePoint now) {
  OrderedLock lock(table.mutex);
  std::vector<PeerStatus> statuses;
  for (const Instance& instance : table.list.instances) {
    if (instance.id == table.self.id)
      continue;
    PeerStatus status;
    status.instance = instance;
    const auto found = table.peers.find(instance.id);
    if (found != table.peers.end()) {
      const PeerView& view = found->second;
      status.state = view.state;
      status.version = view.version;
      status.reachable = IsReachable(view, now);
      if (view.last_heard)
        status.time_since_heard = now - *view.last_heard;
    }
    statuses.push_back(status);
  }
  return statuses;
}

}  // namespace mangodoor
