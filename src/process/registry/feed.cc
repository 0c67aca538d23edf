#include "process/registry/feed.h"

#include <algorithm>
#include <map>
#include <utility>

#include "process/registry/feed_restoration.h"

namespace mangodoor {
namespace {

// A request to a peer is considered lost after this time.
constexpr Duration kRequestTimeout = std::chrono::milliseconds(500);

// An older heartbeat no longer shows that its sender reads the store.
constexpr Duration kHeartbeatMaxAge = std::chrono::milliseconds(1500);

// A hub with more local peers than this shares the pushes with the other hubs.
// If a hub fails to send its share, its peers see from heartbeats that they lag
// and request the changes.
constexpr size_t kSharedPushThreshold = 8;

// Changes are pushed, so one that a heartbeat shows is probably on its way.
constexpr Duration kLocalRequestDelay = std::chrono::milliseconds(200);

// Traffic between data centres is expensive, so the readers of this data centre
// get this time to obtain changes before another one is asked for them.
constexpr Duration kRemoteRequestDelay = std::chrono::milliseconds(500);

// Each hop adds the time that the message took, since its receiver does not
// know it. Without a limit, the instances would keep each other's copies
// current for ever after the last read.
constexpr int kMaxConfirmationHops = 4;

// The functions in this namespace are called with the feed locked.

/** Keeps the later one of the feed's confirmation and `heard`. */
void AddConfirmation(Feed& feed, const StoreConfirmation& heard) {
  if (heard.hops <= kMaxConfirmationHops &&
      (!feed.confirmation || heard.at > feed.confirmation->at))
    feed.confirmation = heard;
}

/** True if the peer reads the store, and its copy was current recently. */
bool IsActiveReader(const PeerFeed& peer, TimePoint now) {
  return peer.reads_store && now - peer.last_heard <= kHeartbeatMaxAge &&
         now - peer.confirmed_at <= kFeedMaxAge;
}

bool LowerRankReads(const Feed& feed,
                    const FeedTopology& topology,
                    TimePoint now) {
  return std::any_of(feed.peers.begin(), feed.peers.end(), [&](const auto& p) {
    const auto rank = topology.local_peers.find(p.first);
    return rank != topology.local_peers.end() && rank->second < topology.rank &&
           IsActiveReader(p.second, now);
  });
}

/** True if an instance of this data centre reads the store. */
bool LocalInstanceReads(const Feed& feed,
                        const FeedTopology& topology,
                        TimePoint now) {
  return IsReading(feed.reader) ||
         std::any_of(feed.peers.begin(), feed.peers.end(), [&](const auto& p) {
           return topology.local_peers.count(p.first) > 0 &&
                  IsActiveReader(p.second, now);
         });
}

/** How long a change that `from` reported is not requested from it. */
Duration RequestDelay(const Feed& feed,
                      const FeedTopology& topology,
                      const InstanceId& from,
                      TimePoint now) {
  // Nothing is pushed to an instance that has no copy yet.
  if (feed.replica.revision == StoreRevision())
    return Duration::zero();
  if (topology.local_peers.count(from) > 0)
    return kLocalRequestDelay;
  return LocalInstanceReads(feed, topology, now) ? kRemoteRequestDelay
                                                 : Duration::zero();
}

bool IsHub(size_t rank) {
  return rank < kHubsPerDataCentre;
}

/** True if each hub pushes to only a share of the other instances. */
bool HubsSharePushes(const FeedTopology& topology) {
  return IsHub(topology.rank) &&
         topology.local_peers.size() > kSharedPushThreshold;
}

/** True if the instance of this rank is not a hub, but in this hub's share. */
bool IsInOwnShare(const FeedTopology& topology, size_t rank) {
  return !IsHub(rank) && rank % topology.pushing_hubs == topology.rank;
}

/**
 * True if changes from the store, or from another data centre, are sent to the
 * local peer of this rank.
 */
bool IsPushTarget(const FeedTopology& topology, size_t rank) {
  return !HubsSharePushes(topology) || IsHub(rank) ||
         IsInOwnShare(topology, rank);
}

/**
 * True if changes from a peer of this data centre are sent to the local peer of
 * this rank.
 */
bool IsForwardTarget(const FeedTopology& topology, size_t rank) {
  return HubsSharePushes(topology) && IsInOwnShare(topology, rank);
}

/** The update for a peer that has all changes up to `revision`. */
FeedUpdate MakeUpdate(const Feed& feed,
                      const StoreRevision& revision,
                      FeedEncoding encoding,
                      TimePoint now) {
  const ValueForm form = encoding == FeedEncoding::kPatched
                             ? ValueForm::kPatched
                             : ValueForm::kWhole;
  FeedUpdate update{ChangesAfter(feed.replica, revision, form),
                    encoding != FeedEncoding::kPlain};
  // A peer of the same era has its own, or asks for them.
  if (revision.era < feed.replica.revision.era)
    AddCarriedTo(feed, now, update);
  return update;
}

/** Pushes changes to the local peers for which `is_target` is true. */
void PushUpdates(const Feed& feed,
                 const FeedTopology& topology,
                 const StoreRevision& revision_before,
                 bool (*is_target)(const FeedTopology&, size_t rank),
                 TimePoint now,
                 FeedActions& actions) {
  // Instances without a copy read the store, and request one from peers. The
  // others do not need the first copy of this one.
  if (revision_before == StoreRevision() ||
      feed.replica.revision == revision_before)
    return;
  // Most peers have the same revision and get the same message.
  std::map<std::pair<StoreRevision, FeedEncoding>, std::vector<InstanceId>>
      groups;
  for (const auto& [peer, rank] : topology.local_peers) {
    if (!is_target(topology, rank))
      continue;
    const auto known = feed.peers.find(peer);
    const bool is_known = known != feed.peers.end();
    const StoreRevision peer_revision =
        is_known ? known->second.revision : revision_before;
    if (peer_revision == StoreRevision() ||
        peer_revision >= feed.replica.revision)
      continue;
    const FeedEncoding encoding = is_known && known->second.accepts_patches
                                      ? FeedEncoding::kPatched
                                      : FeedEncoding::kPlain;
    groups[{std::max(peer_revision, revision_before), encoding}].push_back(
        peer);
  }
  for (auto& [group, to] : groups) {
    actions.pushes.push_back(
        {std::move(to), MakeUpdate(feed, group.first, group.second, now)});
  }
}

std::optional<Duration> BehindFor(const Feed& feed, TimePoint now) {
  if (!feed.behind_since)
    return std::nullopt;
  return now - *feed.behind_since;
}

/** True if an update was requested or is arriving, and is not lost. */
bool AwaitsUpdate(const Feed& feed, TimePoint now) {
  const auto is_recent = [now](const std::optional<TimePoint>& at) {
    return at && now - *at < kRequestTimeout;
  };
  return is_recent(feed.requested_at) || is_recent(feed.progressed_at);
}

void Request(Feed& feed,
             const InstanceId& from,
             const FeedRequest& request,
             TimePoint now,
             FeedActions& actions) {
  feed.requested_at = now;
  actions.messages.push_back({from, request});
}

// An instance that has first read the store after its restoration does not know
// what was acknowledged before.
void RequestCarried(Feed& feed,
                    const InstanceId& from,
                    const FleetHeartbeat& heartbeat,
                    TimePoint now,
                    FeedActions& actions) {
  const uint64_t era = feed.replica.revision.era;
  if (!heartbeat.carries_items || heartbeat.store_revision.era != era ||
      feed.carried_era >= era || AwaitsUpdate(feed, now))
    return;
  Request(feed, from, {feed.replica.revision, FeedEncoding::kPatched, true},
          now, actions);
}

/** Sets or clears since when a peer, or the store, is ahead of this copy. */
void UpdateBehindSince(Feed& feed, TimePoint now) {
  if (feed.highest_peer_revision <= feed.replica.revision)
    feed.behind_since.reset();
  else if (!feed.behind_since)
    feed.behind_since = now;
  if (feed.checked_revision <= feed.replica.revision)
    feed.store_ahead_since.reset();
  else if (!feed.store_ahead_since)
    feed.store_ahead_since = now;
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
  inputs.behind_since = feed.behind_since;
  inputs.store_ahead_since = feed.store_ahead_since;
  actions.behind_for = BehindFor(feed, now);
  actions.changed_items = TakeExpired(feed.carried, feed.replica, now);
  actions.read = PlanRead(feed.reader, inputs);
  return actions;
}

FeedActions FinishStoreRead(Feed& feed,
                            const FeedTopology& topology,
                            StoreAnswer answer,
                            TimePoint now) {
  OrderedLock lock(feed.mutex);
  FeedActions actions;
  CompleteEra(feed.replica, answer);
  const StoreAnswer::Kind kind = KindOf(feed, answer);
  const StoreRevision before = feed.replica.revision;
  actions.behind_for = BehindFor(feed, now);
  if (feed.reader.phase == FeedReader::Phase::kChecking) {
    if (answer.kind == StoreAnswer::Kind::kItems)
      feed.checked_revision = answer.revision;
  } else if (kind == StoreAnswer::Kind::kItems) {
    if (feed.reader.phase == FeedReader::Phase::kReloading) {
      if (!AddPage(feed.reader.reload, std::move(answer))) {
        actions.read = NextPage(feed.reader);
        return actions;
      }
      actions.reloaded = SummaryOf(feed.reader.reload);
      StoreReload reload = std::exchange(feed.reader.reload, {});
      actions.changed_items = ApplyStoreReload(feed, reload, now, actions);
    } else {
      StoreChanges changes;
      changes.after = before;
      changes.up_to = answer.revision;
      changes.items = std::move(answer.items);
      actions.changed_items = ApplyStoreChanges(feed, changes, now, actions);
      AddConfirmation(feed, {now, 0});
    }
  }
  UpdateBehindSince(feed, now);
  FinishRead(feed.reader, kind, !actions.changed_items.empty(), now);
  PushUpdates(feed, topology, before, IsPushTarget, now, actions);
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
    peer.confirmed_at = now;
  peer.revision = heartbeat.store_revision;
  peer.reads_store = heartbeat.reads_store;
  peer.accepts_patches = heartbeat.accepts_patches;
  peer.last_heard = now;
  if (heartbeat.store_age)
    peer.confirmed_at = std::max(peer.confirmed_at, now - *heartbeat.store_age);
  if (heartbeat.store_revision <= feed.replica.revision) {
    if (heartbeat.store_revision == feed.replica.revision &&
        heartbeat.store_age)
      AddConfirmation(
          feed, {now - *heartbeat.store_age, heartbeat.store_age_hops + 1});
    RequestCarried(feed, from, heartbeat, now, actions);
    return actions;
  }
  feed.highest_peer_revision =
      std::max(feed.highest_peer_revision, heartbeat.store_revision);
  UpdateBehindSince(feed, now);
  actions.behind_for = BehindFor(feed, now);
  if (now - *feed.behind_since < RequestDelay(feed, topology, from, now) ||
      AwaitsUpdate(feed, now))
    return actions;
  Request(feed, from, {feed.replica.revision, FeedEncoding::kPatched}, now,
          actions);
  return actions;
}

void RecordFeedProgress(Feed& feed, TimePoint now) {
  OrderedLock lock(feed.mutex);
  feed.progressed_at = now;
}

FeedActions HandleFeedRequest(const Feed& feed,
                              const InstanceId& from,
                              const FeedRequest& request,
                              TimePoint now) {
  OrderedLock lock(feed.mutex);
  FeedActions actions;
  if (feed.replica.revision <= request.after && !request.wants_carried)
    return actions;
  FeedUpdate update = MakeUpdate(feed, request.after, request.encoding, now);
  if (request.wants_carried)
    AddCarriedTo(feed, now, update);
  actions.messages.push_back({from, std::move(update)});
  return actions;
}

FeedActions HandleFeedUpdate(Feed& feed,
                             const FeedTopology& topology,
                             const InstanceId& from,
                             const FeedUpdate& update,
                             TimePoint now) {
  OrderedLock lock(feed.mutex);
  FeedActions actions;
  actions.behind_for = BehindFor(feed, now);
  const StoreRevision before = feed.replica.revision;
  const StoreChanges& changes = update.changes;
  if (CanApply(feed.replica, changes)) {
    feed.requested_at.reset();
    feed.progressed_at.reset();
    actions.changed_items = ApplyStoreChanges(feed, changes, now, actions);
    AddCarriedByPeer(feed, update, now, actions);
    UpdateBehindSince(feed, now);
    // Changes from another data centre are new to all local peers.
    const bool is_remote = topology.local_peers.count(from) == 0;
    PushUpdates(feed, topology, before,
                is_remote ? IsPushTarget : IsForwardTarget, now, actions);
  } else if (changes.up_to > feed.replica.revision &&
             (changes.compared || !AwaitsUpdate(feed, now))) {
    // If changes found by comparison do not fit, no other ones would.
    const StoreRevision after =
        changes.compared ? StoreRevision() : feed.replica.revision;
    Request(feed, from, {after, FeedEncoding::kPatched}, now, actions);
  }
  return actions;
}

FeedActions RequestWholeValues(Feed& feed,
                               const InstanceId& from,
                               const FeedUpdate& update,
                               TimePoint now) {
  OrderedLock lock(feed.mutex);
  FeedActions actions;
  actions.behind_for = BehindFor(feed, now);
  if (update.changes.up_to > feed.replica.revision) {
    Request(feed, from, {feed.replica.revision, FeedEncoding::kPacked}, now,
            actions);
  }
  return actions;
}

void ForgetPeer(Feed& feed, const InstanceId& peer) {
  OrderedLock lock(feed.mutex);
  feed.peers.erase(peer);
}

void FillFeedState(const Feed& feed, TimePoint now, FleetHeartbeat& heartbeat) {
  OrderedLock lock(feed.mutex);
  heartbeat.store_revision = feed.replica.revision;
  heartbeat.reads_store = IsReading(feed.reader);
  heartbeat.carries_items = !feed.carried.empty();
  heartbeat.accepts_patches = true;
  if (!feed.confirmation)
    return;
  heartbeat.store_age = now - feed.confirmation->at;
  heartbeat.store_age_hops = feed.confirmation->hops;
}

std::optional<TimePoint> ConfirmedAt(const Feed& feed) {
  OrderedLock lock(feed.mutex);
  if (!feed.confirmation)
    return std::nullopt;
  return feed.confirmation->at;
}

StoreRevision FeedRevision(const Feed& feed) {
  OrderedLock lock(feed.mutex);
  return feed.replica.revision;
}

}  // namespace mangodoor
