#include "process/versions/version_propagation.h"

#include <algorithm>
#include <utility>

#include "process/membership/join.h"

namespace mangodoor {
namespace {

struct Held {
  uint64_t version = 0;
  std::string digest;
};

// Called with the table locked, as are all functions here that take it const.
Held InForce(const VersionTable& table) {
  if (!table.in_force)
    return {};
  return {table.in_force->document.version, table.in_force->digest};
}

bool IsKnownBad(const VersionTable& table, const ReachablePeer& peer) {
  return std::any_of(table.rejected.begin(), table.rejected.end(),
                     [&](const RejectedDocument& rejected) {
                       return rejected.version == peer.version &&
                              rejected.digest == peer.digest;
                     });
}

uint64_t HighestPeerVersion(const VersionTable& table,
                            const std::vector<ReachablePeer>& peers) {
  uint64_t highest = 0;
  for (const ReachablePeer& peer : peers) {
    if (!IsKnownBad(table, peer))
      highest = std::max(highest, peer.version);
  }
  return highest;
}

// A read that confirmed another version says nothing about the one in force.
std::optional<TimePoint> RelayedRead(const VersionTable& table,
                                     const std::vector<ReachablePeer>& peers) {
  const Held held = InForce(table);
  std::optional<TimePoint> latest;
  for (const ReachablePeer& peer : peers) {
    if (peer.version == held.version && peer.digest == held.digest)
      KeepLatest(latest, peer.read_at);
  }
  return latest;
}

std::vector<DocumentHolder> HoldersOfHigher(
    const VersionTable& table,
    const std::vector<ReachablePeer>& peers) {
  std::vector<DocumentHolder> holders;
  if (!table.options.request_from_peers)
    return holders;
  for (const ReachablePeer& peer : peers) {
    if (peer.version > InForce(table).version && !IsKnownBad(table, peer))
      holders.push_back({peer.id, peer.in_own_data_centre, peer.version});
  }
  return holders;
}

void PlanRequest(VersionTable& table,
                 const std::vector<ReachablePeer>& peers,
                 TimePoint now,
                 PropagationActions& actions) {
  const auto question =
      PlanDocumentRequest(table.request, HoldersOfHigher(table, peers), now);
  if (question)
    actions.messages.push_back(
        {question->peer, DocumentRequest{question->version}});
}

bool HoldsPoll(const Instance& self, const std::vector<ReachablePeer>& peers) {
  std::vector<InstanceId> neighbours;
  for (const ReachablePeer& peer : peers) {
    if (peer.in_own_data_centre && peer.state != InstanceState::kLeaving)
      neighbours.push_back(peer.id);
  }
  return HoldsLongPoll(self.id, self.data_centre, neighbours);
}

// What a tick found out, for the steps that need no lock of the versions.
struct Judgement {
  bool fenced = true;
  JoinInputs join;
  Held held;
  Duration read_age = Duration::max();
};

Judgement JudgeVersions(VersionTable& table,
                        const FleetReachability& reachability,
                        const std::vector<ReachablePeer>& peers,
                        const PropagationInputs& tick,
                        const Instance& self,
                        PropagationActions& actions) {
  OrderedLock lock(table.mutex);
  CheckForPause(table.freshness, tick.now);
  KeepLatest(table.freshness.half_heard, reachability.half_heard);
  KeepLatest(table.freshness.relayed_read, RelayedRead(table, peers));
  Judgement judgement;
  judgement.held = InForce(table);
  judgement.read_age = ReadAge(table.freshness, tick.now);
  judgement.fenced =
      !table.in_force || !IsFresh(table.freshness, table.fresh_for, tick.now);
  judgement.join = {table.in_force != nullptr, judgement.held.version,
                    HighestPeerVersion(table, peers), reachability};
  if (!table.options.join_needs_peers)
    judgement.join.reachability.alone = true;
  const ReadPlan plan = PlanReads(
      table.reads,
      {tick.now, HoldsPoll(self, peers), judgement.read_age, tick.random});
  actions.start_poll = plan.start_poll;
  actions.start_read = plan.start_read;
  actions.known_version = table.service_version;
  PlanRequest(table, peers, tick.now, actions);
  return judgement;
}

void AddHeartbeats(const MembershipTable& membership,
                   const Judgement& judgement,
                   const PropagationInputs& tick,
                   PropagationActions& actions) {
  for (const InstanceId& peer : tick.connected) {
    Heartbeat heartbeat = StartHeartbeat(membership, peer, tick.now);
    heartbeat.version = judgement.held.version;
    heartbeat.digest = judgement.held.digest;
    heartbeat.read_age = judgement.read_age;
    heartbeat.spare = tick.spare;
    heartbeat.addresses_unchanged = tick.addresses_unchanged;
    actions.messages.push_back({peer, std::move(heartbeat)});
  }
}

PropagationActions HandleHeartbeat(VersionTable& versions,
                                   MembershipTable& membership,
                                   const InstanceId& from,
                                   Heartbeat heartbeat,
                                   TimePoint now) {
  PropagationActions actions;
  if (!versions.options.bound_message_age) {
    heartbeat.timing.echoed = now;
    heartbeat.timing.held = Duration::zero();
  }
  if (!RecordHeartbeat(membership, from, heartbeat, now))
    return actions;
  if (ShouldSendList(membership, from, now))
    actions.messages.push_back(
        {from, InstanceListMessage{ListInUse(membership)}});
  {
    OrderedLock lock(versions.mutex);
    if (heartbeat.version <= InForce(versions).version)
      return actions;
  }
  const std::vector<ReachablePeer> peers = ReachablePeers(membership, now);
  OrderedLock lock(versions.mutex);
  PlanRequest(versions, peers, now, actions);
  return actions;
}

PropagationActions AnswerRequest(const VersionTable& versions,
                                 const InstanceId& from,
                                 const DocumentRequest& request) {
  PropagationActions actions;
  const VersionPtr version = VersionInForce(versions);
  if (version && version->document.version >= request.version)
    actions.messages.push_back(
        {from, DocumentText{version->document.version, version->digest,
                            version->text}});
  return actions;
}

}  // namespace

PropagationActions TickPropagation(VersionTable& versions,
                                   MembershipTable& membership,
                                   const PropagationInputs& tick) {
  PropagationActions actions;
  CheckForPause(membership, tick.now);
  DropUnlistedPeers(membership, tick.now);
  const Judgement judgement = JudgeVersions(
      versions, ReachabilityOf(membership, tick.now),
      ReachablePeers(membership, tick.now), tick, membership.self, actions);
  SetFenced(membership, judgement.fenced);
  if (OwnState(membership) == InstanceState::kJoining &&
      MayEnterService(judgement.join)) {
    EnterService(membership);
    actions.entered_service = true;
  }
  if (HeartbeatsDue(membership, tick.now))
    AddHeartbeats(membership, judgement, tick, actions);
  actions.read_list = ListReadDue(membership, tick.now, tick.random);
  return actions;
}

PropagationActions HandlePropagationMessage(VersionTable& versions,
                                            MembershipTable& membership,
                                            const InstanceId& from,
                                            const PeerMessage& message,
                                            TimePoint now) {
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message))
    return HandleHeartbeat(versions, membership, from, *heartbeat, now);
  if (const auto* request = std::get_if<DocumentRequest>(&message))
    return AnswerRequest(versions, from, *request);
  PropagationActions actions;
  if (const auto* list = std::get_if<InstanceListMessage>(&message))
    actions.list_changed = AdoptList(membership, list->list);
  return actions;
}

void FinishDocumentRead(VersionTable& versions,
                        const MembershipTable& membership,
                        const FinishedRead& read,
                        TimePoint now,
                        double random) {
  const std::vector<ReachablePeer> peers = ReachablePeers(membership, now);
  OrderedLock lock(versions.mutex);
  FinishRead(versions.reads, read.kind, read.answered, now, random);
  if (!read.answered)
    return;
  if (!read.not_modified) {
    versions.service_version = read.service_version;
    versions.service_digest = read.service_digest;
  } else if (read.known_version != versions.service_version) {
    // Another read has found another version since this one was started.
    return;
  }
  const Held held = InForce(versions);
  // The answer may have been under way for as long as the read took.
  if (versions.in_force && versions.service_digest == held.digest &&
      held.version >= HighestPeerVersion(versions, peers))
    KeepLatest(versions.freshness.own_read, read.started);
}

ApplyOutcome AcceptPeerDocument(VersionTable& versions,
                                const InstanceId& from,
                                const VersionPtr& candidate,
                                WallTime now) {
  {
    OrderedLock lock(versions.mutex);
    FinishDocumentRequest(versions.request, from);
  }
  return ConsiderVersion(versions, candidate, now);
}

void RejectPeerDocument(VersionTable& versions,
                        const InstanceId& from,
                        const std::optional<RejectedDocument>& bad) {
  {
    OrderedLock lock(versions.mutex);
    FinishDocumentRequest(versions.request, from);
  }
  if (bad)
    NoteRejected(versions, *bad);
}

}  // namespace mangodoor
