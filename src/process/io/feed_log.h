#ifndef PROCESS_IO_FEED_LOG_H_
#define PROCESS_IO_FEED_LOG_H_

#include <optional>
#include <vector>

#include "process/clock.h"
#include "process/registry/feed.h"

namespace mangodoor {

/** Logs what a read of the store returned, and how long it took. */
void LogStoreRead(const StoreAnswer& answer, Duration took);

/** Logs the end of a full read of the store. */
void LogReload(const ReloadSummary& reload);

/** Logs that the store was found to be restored from an older copy. */
void LogRestoration(const RestorationSummary& restored);

/** Logs changes from a peer, if there are any. */
void LogUpdateReceived(const InstanceId& from,
                       const FeedUpdate& update,
                       const FeedActions& actions);

/** Logs a request for changes or an answer to one. */
void LogFeedMessage(const OutgoingMessage& outgoing,
                    const std::optional<Duration>& behind_for);

/** Logs changes that are sent to several instances without a request. */
void LogFeedPush(const FeedPush& push);

}  // namespace mangodoor

#endif  // PROCESS_IO_FEED_LOG_H_
