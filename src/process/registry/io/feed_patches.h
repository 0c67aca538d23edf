#ifndef PROCESS_REGISTRY_IO_FEED_PATCHES_H_
#define PROCESS_REGISTRY_IO_FEED_PATCHES_H_

#include "process/registry/feed.h"

namespace mangodoor {

/**
 * Adds to each large item that was read from the store the difference from this
 * instance's copy. Of several changes of such an item, only the last one stays.
 */
void AddPatches(const Feed& feed, std::vector<StoreItem>& items);

/**
 * Sets the values of items that a peer sent as patches. Returns false if this
 * instance does not have the value to which one applies.
 */
bool ExpandPatches(const Feed& feed, StoreChanges& changes);

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_IO_FEED_PATCHES_H_
