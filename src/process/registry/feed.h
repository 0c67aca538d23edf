#ifndef PROCESS_REGISTRY_FEED_H_
#define PROCESS_REGISTRY_FEED_H_

#include <atomic>
#include <map>
#include <optional>
#include <vector>

#include "process/fleet/member_list.h"
#include "process/ordered_mutex.h"
#include "process/peers/peer_message.h"
#include "process/registry/carried_items.h"
#include "process/registry/feed_reader.h"
#include "process/registry/store_replica.h"

namespace mangodoor {

/** What a peer's latest heartbeat reported about its copy of the store. */
struct PeerFeed {
  StoreRevision revision;
  /** The peer reads the store itself. */
  bool reads_store = false;
  /** The peer can receive patches. */
  bool accepts_patches = false;
  TimePoint last_heard{};
  /**
   * When its copy was last known to be current; the time of its first heartbeat
   * if it never was.
   */
  TimePoint confirmed_at{};
};

/** When a copy was known to be current, and how that became known. */
struct StoreConfirmation {
  TimePoint at{};
  /** Instances that have passed it on; 0 for a read of this instance. */
  int hops = 0;
};

/**
 * This instance's copy of the platform's store, kept up to date by its own
 * reads or by changes from peers.
 */
struct Feed {
  mutable OrderedMutex mutex{LockRank::kFeed};
  StoreReplica replica;
  /** What is in force in place of the replica's items. */
  CarriedItems carried;
  /** The latest era of which this instance knows what has to be carried. */
  uint64_t carried_era = 0;
  /** Set before the first read; null if no item lapses. */
  LapsesAlone lapses_alone = nullptr;
  FeedReader reader;
  std::map<InstanceId, PeerFeed> peers;
  /** When the latest request to a peer was sent, if it is unanswered. */
  std::optional<TimePoint> requested_at;
  /** When a part of a long message from a peer arrived, if it has no end yet.
   */
  std::optional<TimePoint> progressed_at;
  /** The latest one; unset if the copy was never known to be current. */
  std::optional<StoreConfirmation> confirmation;
  /** The highest revision that a peer has reported. */
  StoreRevision highest_peer_revision;
  /**
   * When this copy fell behind the highest revision that a peer has reported;
   * unset while it is not behind.
   */
  std::optional<TimePoint> behind_since;
  /** The highest revision of the store that a check has shown. */
  StoreRevision checked_revision;
  /** When a check showed that this copy lacks changes; unset if it has all. */
  std::optional<TimePoint> store_ahead_since;
  /** Items read that could not be used. Needs no lock. */
  std::atomic<uint64_t> entries_refused{0};
};

/** What a restoration of the store meant for this instance, for logs. */
struct RestorationSummary {
  StoreRevision before;
  StoreRevision after;
  /** Items that the store lacks, and that stay in force for now. */
  size_t carried = 0;
};

/** An update to be sent to several instances. */
struct FeedPush {
  std::vector<InstanceId> to;
  FeedUpdate update;
};

/** Actions for the caller to carry out once no lock is held. */
struct FeedActions {
  std::vector<OutgoingMessage> messages;
  std::vector<FeedPush> pushes;
  ReadStart read;
  /** Changes to put into force, in order. */
  std::vector<StoreItem> changed_items;
  /** Set when a full read of the store has ended. */
  std::optional<ReloadSummary> reloaded;
  /** Set when the store was found to be restored from an older copy. */
  std::optional<RestorationSummary> restored;
  /** For logs: how long a peer has been ahead of this copy; unset if none is.
   */
  std::optional<Duration> behind_for;
};

/** This instance's rank in its data centre, and its local links. */
struct FeedTopology {
  /** 0 is the leader; ranks below kHubsPerDataCentre are hubs. */
  size_t rank = 0;
  /** Linked instances of this data centre with their ranks. */
  std::map<InstanceId, size_t> local_peers;
  /** Hubs of lower ranks than this share the pushes; at least 1. */
  size_t pushing_hubs = kHubsPerDataCentre;
};

/** Starts a read of the store if one is due. */
FeedActions TickFeed(Feed& feed, const FeedTopology& topology, TimePoint now);

/** Applies the answer to a read of the store. */
FeedActions FinishStoreRead(Feed& feed,
                            const FeedTopology& topology,
                            StoreAnswer answer,
                            TimePoint now);

/** Records a peer's heartbeat; requests changes if the peer is ahead. */
FeedActions HandleFeedHeartbeat(Feed& feed,
                                const FeedTopology& topology,
                                const InstanceId& from,
                                const FleetHeartbeat& heartbeat,
                                TimePoint now);

/**
 * Records that a part of a long message has arrived. It is probably an update,
 * so that none is requested as long as parts arrive.
 */
void RecordFeedProgress(Feed& feed, TimePoint now);

/** Answers a peer's request for changes. */
FeedActions HandleFeedRequest(const Feed& feed,
                              const InstanceId& from,
                              const FeedRequest& request,
                              TimePoint now);

/**
 * Requests whole values in place of an update whose patches do not apply to
 * this copy.
 */
FeedActions RequestWholeValues(Feed& feed,
                               const InstanceId& from,
                               const FeedUpdate& update,
                               TimePoint now);

/** Applies changes that a peer sent, with the values of all items. */
FeedActions HandleFeedUpdate(Feed& feed,
                             const FeedTopology& topology,
                             const InstanceId& from,
                             const FeedUpdate& update,
                             TimePoint now);

void ForgetPeer(Feed& feed, const InstanceId& peer);

/** Fills in the fields of a heartbeat that describe this instance's copy. */
void FillFeedState(const Feed& feed, TimePoint now, FleetHeartbeat& heartbeat);

/** When the copy was last known to be current; no value if it never was. */
std::optional<TimePoint> ConfirmedAt(const Feed& feed);

StoreRevision FeedRevision(const Feed& feed);

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_FEED_H_
