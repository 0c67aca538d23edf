#include "process/registry/feed.h"

#include <algorithm>
#include <map>
#include <utility>

#include "process/fleet/member_list.h"

namespace mangodoor {
namespace {

// A request to a peer counts as lost after this time.
constexpr Duration kRequestWait = std::chrono::milliseconds(500);

// What a beat said of its sender counts for this long.
constexpr Duration kHeartbeatValid = std::chrono::milliseconds(1500);

// An instance with more neighbours leaves a part of them to the other hubs.
// Beats make up for a hub that does not tell its part.
constexpr size_t kMostTold = 8;

// Bytes between data centres are dear, so the own one comes first.
constexpr Duration kAskFarAfter = std::chrono::milliseconds(500);

// The functions below are called with the feed locked.

/** True if the peer can be trusted to bring changes. */
bool Reads(const PeerFeed& peer, TimePoint now) {
  return peer.reading && now - peer.last_heard <= kHeartbeatValid &&
         now - peer.confirmed <= kFeedOverdue;
}

bool LowerRankReads(const Feed& feed,
                    const FeedTopology& topology,
                    TimePoint now) {
  return std::any_of(feed.peers.begin(), feed.peers.end(), [&](const auto& p) {
    const auto rank = topology.local_peers.find(p.first);
    return rank != topology.local_peers.end() && rank->second < topology.rank &&
           Reads(p.second, now);
  });
}

/** True if the own data centre is likely to get the changes by itself. */
bool SomeoneNearReads(const Feed& feed,
                      const FeedTopology& topology,
                      TimePoint now) {
  return IsReading(feed.reader) ||
         std::any_of(feed.peers.begin(), feed.peers.end(), [&](const auto& p) {
           return topology.local_peers.count(p.first) > 0 &&
                  Reads(p.second, now);
         });
}

FeedUpdate ToMessage(const StoreChanges& changes) {
  FeedUpdate update;
  update.after = changes.after;
  update.up_to = changes.up_to;
  update.whole = changes.whole;
  update.items = changes.items;
  return update;
}

bool IsHub(size_t rank) {
  return rank < kHubsPerDataCentre;
}

/** True if each hub tells a part of the instances that are no hubs. */
bool HubsShareTelling(const FeedTopology& topology) {
  return IsHub(topology.rank) && topology.local_peers.size() > kMostTold;
}

/** True if it falls to this hub to tell the instance, which is no hub. */
bool IsInOwnPart(const FeedTopology& topology, size_t rank) {
  return !IsHub(rank) && rank % kHubsPerDataCentre == topology.rank;
}

/** Whom an instance tells that has news before its neighbours. */
bool TellsFirst(const FeedTopology& topology, size_t rank) {
  return !HubsShareTelling(topology) || IsHub(rank) ||
         IsInOwnPart(topology, rank);
}

/** Whom an instance tells that was told by a neighbour. */
bool TellsOn(const FeedTopology& topology, size_t rank) {
  return HubsShareTelling(topology) && IsInOwnPart(topology, rank);
}

/** Sends news to those linked instances of the data centre that `tells`. */
void PushUpdates(const Feed& feed,
                 const FeedTopology& topology,
                 uint64_t revision_before,
                 bool (*tells)(const FeedTopology&, size_t rank),
                 FeedActions& actions) {
  if (feed.replica.revision == revision_before)
    return;
  // Most of them have the same revision, and get the same message.
  std::map<uint64_t, std::vector<InstanceId>> by_revision;
  for (const auto& [peer, rank] : topology.local_peers) {
    if (!tells(topology, rank))
      continue;
    const auto known = feed.peers.find(peer);
    const uint64_t has =
        known == feed.peers.end() ? revision_before : known->second.revision;
    if (has >= feed.replica.revision)
      continue;
    by_revision[std::max(has, revision_before)].push_back(peer);
  }
  for (auto& [revision, to] : by_revision) {
    actions.pushes.push_back(
        {std::move(to), ToMessage(ChangesAfter(feed.replica, revision))});
  }
}

/** Notes whether any peer is known to be ahead. */
void NoteRevisions(Feed& feed, TimePoint now) {
  if (feed.known_revision <= feed.replica.revision)
    feed.behind_since.reset();
  else if (!feed.behind_since)
    feed.behind_since = now;
}

}  // namespace

FeedActions TickFeed(Feed& feed, const FeedTopology& topology, TimePoint now) {
  OrderedLock lock(feed.mutex);
  FeedActions actions;
  ReaderInputs inputs;
  inputs.now = now;
  inputs.rank = topology.rank;
  inputs.lower_rank_reads = LowerRankReads(feed, topology, now);
  inputs.revision = feed.replica.revision;
  actions.read = PlanRead(feed.reader, inputs);
  return actions;
}

FeedActions FinishStoreRead(Feed& feed,
                            const FeedTopology& topology,
                            StoreAnswer answer,
                            TimePoint now) {
  OrderedLock lock(feed.mutex);
  FeedActions actions;
  const StoreAnswer::Kind kind = answer.kind;
  const uint64_t before = feed.replica.revision;
  if (kind == StoreAnswer::Kind::kItems) {
    if (feed.reader.phase == FeedReader::Phase::kReloading) {
      if (!AddPage(feed.reader.reload, std::move(answer))) {
        actions.read.kind = ReadStart::Kind::kPage;
        actions.read.after_key = feed.reader.reload.after_key;
        actions.read.consistency = before == 0 ? ReadConsistency::kMayBeStale
                                               : ReadConsistency::kCurrent;
        return actions;
      }
      actions.changed_items =
          ApplyReload(feed.replica, std::exchange(feed.reader.reload, {}));
    } else {
      StoreChanges changes;
      changes.after = before;
      changes.up_to = answer.revision;
      changes.items = std::move(answer.items);
      actions.changed_items = ApplyChanges(feed.replica, changes);
      feed.confirmed_at = now;
    }
  }
  NoteRevisions(feed, now);
  FinishRead(feed.reader, kind, !actions.changed_items.empty(), now);
  PushUpdates(feed, topology, before, TellsFirst, actions);
  return actions;
}

FeedActions HandleFeedHeartbeat(Feed& feed,
                                const FeedTopology& topology,
                                const InstanceId& from,
                                const FleetHeartbeat& heartbeat,
                                TimePoint now) {
  OrderedLock lock(feed.mutex);
  FeedActions actions;
  PeerFeed& peer = feed.peers.try_emplace(from).first->second;
  if (peer.last_heard == TimePoint())
    peer.confirmed = now;
  peer.revision = heartbeat.feed_revision;
  peer.reading = heartbeat.reading;
  peer.last_heard = now;
  if (heartbeat.feed_age)
    peer.confirmed = std::max(peer.confirmed, now - *heartbeat.feed_age);
  if (heartbeat.feed_revision <= feed.replica.revision) {
    if (heartbeat.feed_revision == feed.replica.revision &&
        heartbeat.feed_age) {
      feed.confirmed_at = std::max(feed.confirmed_at.value_or(TimePoint()),
                                   now - *heartbeat.feed_age);
    }
    return actions;
  }
  feed.known_revision = std::max(feed.known_revision, heartbeat.feed_revision);
  NoteRevisions(feed, now);
  const bool is_local = topology.local_peers.count(from) > 0;
  if (!is_local && SomeoneNearReads(feed, topology, now) &&
      now - *feed.behind_since < kAskFarAfter)
    return actions;
  if (feed.requested_at && now - *feed.requested_at < kRequestWait)
    return actions;
  feed.requested_at = now;
  actions.messages.push_back({from, FeedRequest{feed.replica.revision}});
  return actions;
}

FeedActions HandleFeedRequest(const Feed& feed,
                              const InstanceId& from,
                              const FeedRequest& request) {
  OrderedLock lock(feed.mutex);
  FeedActions actions;
  if (feed.replica.revision > request.after) {
    actions.messages.push_back(
        {from, ToMessage(ChangesAfter(feed.replica, request.after))});
  }
  return actions;
}

FeedActions HandleFeedUpdate(Feed& feed,
                             const FeedTopology& topology,
                             const InstanceId& from,
                             const FeedUpdate& update,
                             TimePoint now) {
  OrderedLock lock(feed.mutex);
  FeedActions actions;
  const uint64_t before = feed.replica.revision;
  StoreChanges changes;
  changes.after = update.after;
  changes.up_to = update.up_to;
  changes.whole = update.whole;
  changes.items = update.items;
  if (CanApply(feed.replica, changes)) {
    feed.requested_at.reset();
    actions.changed_items = ApplyChanges(feed.replica, changes);
    NoteRevisions(feed, now);
    // What comes from afar is news to the whole data centre.
    const bool is_remote = topology.local_peers.count(from) == 0;
    PushUpdates(feed, topology, before, is_remote ? TellsFirst : TellsOn,
                actions);
  } else if (update.up_to > feed.replica.revision) {
    feed.requested_at = now;
    actions.messages.push_back({from, FeedRequest{feed.replica.revision}});
  }
  return actions;
}

void ForgetPeer(Feed& feed, const InstanceId& peer) {
  OrderedLock lock(feed.mutex);
  feed.peers.erase(peer);
}

void FillFeedState(const Feed& feed, TimePoint now, FleetHeartbeat& heartbeat) {
  OrderedLock lock(feed.mutex);
  heartbeat.feed_revision = feed.replica.revision;
  heartbeat.reading = IsReading(feed.reader);
  if (feed.confirmed_at)
    heartbeat.feed_age = now - *feed.confirmed_at;
}

std::optional<TimePoint> ConfirmedAt(const Feed& feed) {
  OrderedLock lock(feed.mutex);
  return feed.confirmed_at;
}

uint64_t FeedRevision(const Feed& feed) {
  OrderedLock lock(feed.mutex);
  return feed.replica.revision;
}

}  // namespace mangodoor
