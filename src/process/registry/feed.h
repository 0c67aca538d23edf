#ifndef PROCESS_REGISTRY_FEED_H_
#define PROCESS_REGISTRY_FEED_H_

#include <map>
#include <vector>

#include "process/ordered_mutex.h"
#include "process/peers/peer_message.h"
#include "process/registry/feed_reader.h"
#include "process/registry/store_replica.h"

namespace mangodoor {

/** What a peer's latest beat said of its copy of the store. */
struct PeerFeed {
  uint64_t revision = 0;
  bool reading = false;
  TimePoint last_heard{};
  /** When its copy was known to be current; the first beat if it never was. */
  TimePoint confirmed{};
};

/**
 * The copy of the platform's store that this instance works with, by its own
 * reads or by those of others.
 */
struct Feed {
  mutable OrderedMutex mutex{LockRank::kFeed};
  StoreReplica replica;
  FeedReader reader;
  std::map<InstanceId, PeerFeed> peers;
  /** The request to a peer that waits for its answer. */
  std::optional<TimePoint> requested_at;
  /** The store, or a peer that read it, had nothing newer at this time. */
  std::optional<TimePoint> confirmed_at;
  /** The highest revision that a peer has stated. */
  uint64_t known_revision = 0;
  /** Since when a peer is known to be ahead. */
  std::optional<TimePoint> behind_since;
};

/** Changes that several instances are sent. */
struct FeedPush {
  std::vector<InstanceId> to;
  FeedUpdate update;
};

/** What is to be done after a call, once no lock is held. */
struct FeedActions {
  std::vector<OutgoingMessage> messages;
  std::vector<FeedPush> pushes;
  ReadStart read;
  /** Changes to put into force, in order. */
  std::vector<StoreItem> changed_items;
};

/** The instance's place in its data centre, and whom it is linked to. */
struct FeedTopology {
  size_t rank = 0;
  /** Linked instances of the own data centre with their ranks. */
  std::map<InstanceId, size_t> local_peers;
};

/** Starts the read that is due, if one is. */
FeedActions TickFeed(Feed& feed, const FeedTopology& topology, TimePoint now);

/** Takes over the answer to a read of the store. */
FeedActions FinishStoreRead(Feed& feed,
                            const FeedTopology& topology,
                            StoreAnswer answer,
                            TimePoint now);

/** Takes over what a peer's beat says; asks it for changes if it is ahead. */
FeedActions HandleFeedHeartbeat(Feed& feed,
                                const FeedTopology& topology,
                                const InstanceId& from,
                                const FleetHeartbeat& heartbeat,
                                TimePoint now);

/** Answers a peer that asks for changes. */
FeedActions HandleFeedRequest(const Feed& feed,
                              const InstanceId& from,
                              const FeedRequest& request);

/** Takes over changes that a peer sent. */
FeedActions HandleFeedUpdate(Feed& feed,
                             const FeedTopology& topology,
                             const InstanceId& from,
                             const FeedUpdate& update,
                             TimePoint now);

void ForgetPeer(Feed& feed, const InstanceId& peer);

/** Fills in what a beat says of this instance's copy. */
void FillFeedState(const Feed& feed, TimePoint now, FleetHeartbeat& heartbeat);

/** When the copy was last known to be current; no value if it never was. */
std::optional<TimePoint> ConfirmedAt(const Feed& feed);

uint64_t FeedRevision(const Feed& feed);

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_FEED_H_
