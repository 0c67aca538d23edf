#include "process/versions/version_propagation.h"

#include <algorithm>
#include <utility>

#include "process/membership/join.h"

namespace mangodoor {
namespace {

/** Version and digest of a document; 0 and empty for none. */
struct VersionIdentity {
  uint64_t version = 0;
  std::string digest;
};

// The caller must hold the lock of the table, here and in the functions below,
// up to and including AddDocumentRequest.
VersionIdentity IdentityInForce(const VersionTable& table) {
  if (!table.in_force)
    return {};
  return {table.in_force->document.version, table.in_force->digest};
}

bool HoldsRejectedDocument(const VersionTable& table,
                           const ReachablePeer& peer) {
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
    if (!HoldsRejectedDocument(table, peer))
      highest = std::max(highest, peer.version);
  }
  return highest;
}

// When the version in force was last confirmed by a read that a reachable peer
// reported. Peers that hold another version are left out, because their reads
// confirm nothing about the version in force.
std::optional<TimePoint> LatestRelayedRead(
    const VersionTable& table,
    const std::vector<ReachablePeer>& peers) {
  const VersionIdentity current = IdentityInForce(table);
  std::optional<TimePoint> latest;
  for (const ReachablePeer& peer : peers) {
    if (peer.version == current.version && peer.digest == current.digest)
      KeepLatest(latest, peer.read_at);
  }
  return latest;
}

std::vector<DocumentHolder> HoldersOfNewerVersions(
    const VersionTable& table,
    const std::vector<ReachablePeer>& peers) {
  std::vector<DocumentHolder> holders;
  if (!table.options.request_from_peers)
    return holders;
  for (const ReachablePeer& peer : peers) {
    if (peer.version > IdentityInForce(table).version &&
        !HoldsRejectedDocument(table, peer))
      holders.push_back({peer.id, peer.in_own_data_centre, peer.version});
  }
  return holders;
}

void AddDocumentRequest(VersionTable& table,
                        const std::vector<ReachablePeer>& peers,
                        TimePoint now,
                        PropagationActions& actions) {
  const auto plan = PlanDocumentRequest(
      table.request, HoldersOfNewerVersions(table, peers), now);
  if (plan)
    actions.messages.push_back({plan->peer, DocumentRequest{plan->version}});
}

bool IsPollHolder(const Instance& self,
                  const std::vector<ReachablePeer>& peers) {
  std::vector<InstanceId> local_peers;
  for (const ReachablePeer& peer : peers) {
    if (peer.in_own_data_centre && peer.state != InstanceState::kLeaving)
      local_peers.push_back(peer.id);
  }
  return HoldsLongPoll(self.id, self.data_centre, local_peers);
}

// Results of a tick that are used after the version table is unlocked.
struct TickResult {
  bool fenced = true;
  JoinInputs join;
  VersionIdentity current;
  Duration read_age = Duration::max();
};

TickResult TickVersions(VersionTable& table,
                        const FleetReachability& reachability,
                        const std::vector<ReachablePeer>& peers,
                        const PropagationInputs& inputs,
                        const Instance& self,
                        PropagationActions& actions) {
  OrderedLock lock(table.mutex);
  CheckForPause(table.freshness, inputs.now);
  KeepLatest(table.freshness.half_fleet_heard_at,
             reachability.half_fleet_heard_at);
  KeepLatest(table.freshness.relayed_read, LatestRelayedRead(table, peers));
  TickResult result;
  result.current = IdentityInForce(table);
  result.read_age = ReadAge(table.freshness, inputs.now);
  result.fenced =
      !table.in_force || !IsFresh(table.freshness, table.fresh_for, inputs.now);
  result.join = {table.in_force != nullptr, result.current.version,
                 HighestPeerVersion(table, peers), reachability};
  if (!table.options.join_needs_peers)
    result.join.reachability.alone = true;
  const ReadPlan plan = PlanReads(
      table.reads,
      {inputs.now, IsPollHolder(self, peers), result.read_age, inputs.random});
  actions.start_poll = plan.start_poll;
  actions.start_read = plan.start_read;
  actions.known_version = table.service_version;
  AddDocumentRequest(table, peers, inputs.now, actions);
  return result;
}

void AddHeartbeats(const MembershipTable& membership,
                   const TickResult& result,
                   const PropagationInputs& inputs,
                   PropagationActions& actions) {
  for (const InstanceId& peer : inputs.connected) {
    Heartbeat heartbeat = StartHeartbeat(membership, peer, inputs.now);
    heartbeat.version = result.current.version;
    heartbeat.digest = result.current.digest;
    heartbeat.read_age = result.read_age;
    heartbeat.spare = inputs.spare;
    heartbeat.addresses_unchanged = inputs.addresses_unchanged;
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
    if (heartbeat.version <= IdentityInForce(versions).version)
      return actions;
  }
  const std::vector<ReachablePeer> peers = ReachablePeers(membership, now);
  OrderedLock lock(versions.mutex);
  AddDocumentRequest(versions, peers, now, actions);
  return actions;
}

PropagationActions HandleDocumentRequest(const VersionTable& versions,
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
                                   const PropagationInputs& inputs) {
  PropagationActions actions;
  CheckForPause(membership, inputs.now);
  DropUnlistedPeers(membership, inputs.now);
  const TickResult result = TickVersions(
      versions, ReachabilityOf(membership, inputs.now),
      ReachablePeers(membership, inputs.now), inputs, membership.self, actions);
  SetFenced(membership, result.fenced);
  if (OwnState(membership) == InstanceState::kJoining &&
      MayEnterService(result.join)) {
    EnterService(membership);
    actions.entered_service = true;
  }
  if (HeartbeatsDue(membership, inputs.now))
    AddHeartbeats(membership, result, inputs, actions);
  actions.read_list = ListReadDue(membership, inputs.now, inputs.random);
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
    return HandleDocumentRequest(versions, from, *request);
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
    // Another read that ended after this one had started found a version other
    // than known_version, so this read confirms nothing.
    return;
  }
  const VersionIdentity current = IdentityInForce(versions);
  // The confirmation counts from the start of the read, because the answer may
  // be that old.
  if (versions.in_force && versions.service_digest == current.digest &&
      current.version >= HighestPeerVersion(versions, peers))
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
  return AdoptVersionIfNewer(versions, candidate, now);
}

void RejectPeerDocument(VersionTable& versions,
                        const InstanceId& from,
                        const std::optional<RejectedDocument>& rejected) {
  {
    OrderedLock lock(versions.mutex);
    FinishDocumentRequest(versions.request, from);
  }
  if (rejected)
    AddRejectedDocument(versions, *rejected);
}

}  // namespace mangodoor
