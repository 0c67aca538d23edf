#ifndef PROCESS_IO_STORE_FEED_H_
#define PROCESS_IO_STORE_FEED_H_

#include <atomic>
#include <memory>

#include "process/fleet/fleet_table.h"
#include "process/io/platform_interface.h"
#include "process/io/registry_applier.h"
#include "process/registry/feed.h"
#include "process/worker_pool.h"

namespace mangodoor {

class PeerConnectionManager;

/** What a StoreFeed uses; all of it outlives the StoreFeed. */
struct StoreFeedContext {
  Feed& feed;
  FleetTable& fleet;
  Tables& tables;
  PeerConnectionManager& peers;
  ActionRunner& actions;
  const Clock& clock;
  const Instance& self;
};

/**
 * Carries out what the feed decides: reads the platform's store, exchanges
 * changes with peers and puts them into force. The functions can be called on
 * any thread.
 */
class StoreFeed {
 public:
  StoreFeed(const StoreFeedContext& context,
            const PlatformInterface& platform,
            const Endpoint& store);

  void Start() { store_pool_.Start(); }
  /** Ends the running read, if any. Called before the context is destroyed. */
  void Stop() { store_pool_.Stop(); }

  /** Starts a read of the store if one is due. */
  void Tick(TimePoint now);
  void HandleHeartbeat(const InstanceId& from,
                       const FleetHeartbeat& heartbeat,
                       TimePoint now);
  void HandleRequest(const InstanceId& from, const FeedRequest& request);
  void HandleUpdate(const InstanceId& from,
                    const FeedUpdate& update,
                    TimePoint now);

 private:
  FeedTopology CurrentTopology() const;
  void Run(FeedActions actions);
  void StartRead(const ReadStart& read);
  void FinishRead(StoreAnswer answer, TimePoint started);
  void SendToOtherLeaders();

  const StoreFeedContext context_;
  /**
   * Reads the store and decodes its items. Separate from the workers that serve
   * requests, since a large document takes long to decode.
   */
  WorkerPool store_pool_{1};
  std::unique_ptr<PlatformStore> store_;
  RegistryApplier applier_;
  std::atomic<TimePoint> sent_to_leaders_at_{TimePoint()};
};

}  // namespace mangodoor

#endif  // PROCESS_IO_STORE_FEED_H_
