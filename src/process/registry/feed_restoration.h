#ifndef PROCESS_REGISTRY_FEED_RESTORATION_H_
#define PROCESS_REGISTRY_FEED_RESTORATION_H_

#include <vector>

#include "process/registry/feed.h"

namespace mangodoor {

// The part of the feed that deals with a store that was restored from an older
// copy. The functions are called with the feed locked.

/** Gives an answer that names no era that of the replica. */
void CompleteEra(const StoreReplica& replica, StoreAnswer& answer);

/**
 * What the answer means, given what else is known of the store. A watch that
 * was begun before the store was restored has missed changes, like one of a
 * compacted history, and so has a reload. An answer from before the restoration
 * is late.
 */
StoreAnswer::Kind KindOf(const Feed& feed, const StoreAnswer& answer);

/**
 * Applies a full copy of the store. Returns what changes in force: if the store
 * was restored, what it lacks stays.
 */
std::vector<StoreItem> ApplyStoreReload(Feed& feed,
                                        const StoreReload& reload,
                                        TimePoint now,
                                        FeedActions& actions);

/** The same for changes from the store or from a peer. */
std::vector<StoreItem> ApplyStoreChanges(Feed& feed,
                                         const StoreChanges& changes,
                                         TimePoint now,
                                         FeedActions& actions);

/** Adds what this instance carries to an update, if it can know that. */
void AddCarriedTo(const Feed& feed, TimePoint now, FeedUpdate& update);

/** Applies what the sender of an update carries. */
void AddCarriedByPeer(Feed& feed,
                      const FeedUpdate& update,
                      TimePoint now,
                      FeedActions& actions);

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_FEED_RESTORATION_H_
