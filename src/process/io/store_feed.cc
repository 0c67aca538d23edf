#include "process/io/store_feed.h"

#include <boost/asio/post.hpp>
#include <utility>

#include "process/io/feed_log.h"
#include "process/io/log.h"
#include "process/peers/io/peer_connection_manager.h"
#include "process/registry/io/feed_patches.h"
#include "process/tables.h"

namespace mangodoor {
namespace {

// Minimum time between two announcements to the leaders of the other data
// centres. Traffic between data centres is expensive, so a burst of changes is
// announced only a few times.
constexpr Duration kLeaderSendInterval = std::chrono::milliseconds(300);

}  // namespace

StoreFeed::StoreFeed(const StoreFeedContext& context,
                     const PlatformInterface& platform,
                     const Endpoint& store)
    : context_(context),
      store_(platform.open_store(store_pool_.context(), store)),
      applier_(context.tables,
               context.feed,
               context.clock,
               context.actions,
               context.self,
               platform.decode) {
  OrderedLock lock(context.feed.mutex);
  context.feed.lapses_alone = platform.lapses_alone;
}

void StoreFeed::Tick(TimePoint now) {
  Run(TickFeed(context_.feed, CurrentTopology(), now));
}

void StoreFeed::HandleHeartbeat(const InstanceId& from,
                                const FleetHeartbeat& heartbeat,
                                TimePoint now) {
  Run(HandleFeedHeartbeat(context_.feed, CurrentTopology(), from, heartbeat,
                          now));
}

void StoreFeed::HandleRequest(const InstanceId& from,
                              const FeedRequest& request) {
  Run(HandleFeedRequest(context_.feed, from, request, context_.clock.Now()));
}

void StoreFeed::HandleUpdate(const InstanceId& from,
                             const FeedUpdate& update,
                             TimePoint now) {
  FeedUpdate expanded = update;
  FeedActions actions =
      ExpandPatches(context_.feed, expanded.changes)
          ? HandleFeedUpdate(context_.feed, CurrentTopology(), from, expanded,
                             now)
          : RequestWholeValues(context_.feed, from, update, now);
  LogUpdateReceived(from, update, actions);
  Run(std::move(actions));
}

FeedTopology StoreFeed::CurrentTopology() const {
  const FleetViewPtr view = ViewFleet(context_.fleet);
  return {view->rank, view->local_peers, view->pushing_hubs};
}

void StoreFeed::Run(FeedActions actions) {
  if (actions.reloaded)
    LogReload(*actions.reloaded);
  if (actions.restored)
    LogRestoration(*actions.restored);
  for (const OutgoingMessage& outgoing : actions.messages) {
    LogFeedMessage(outgoing, actions.behind_for);
    context_.peers.Send(outgoing.to, outgoing.message);
  }
  for (const FeedPush& push : actions.pushes) {
    LogFeedPush(push);
    context_.peers.SendAll(push.to, push.update);
  }
  if (!actions.changed_items.empty()) {
    if (applier_.Keep(std::move(actions.changed_items)))
      boost::asio::post(store_pool_.context(),
                        [this] { applier_.ApplyKept(); });
    SendToOtherLeaders();
  }
  StartRead(actions.read);
}

void StoreFeed::StartRead(const ReadStart& read) {
  if (read.kind == ReadStart::Kind::kNone)
    return;
  ++context_.tables.counters.configuration_reads;
  const TimePoint started = context_.clock.Now();
  const auto done = [this, started](StoreAnswer answer) {
    FinishRead(std::move(answer), started);
  };
  switch (read.kind) {
    case ReadStart::Kind::kNone:
      break;
    case ReadStart::Kind::kPage:
      return store_->ReadPage(read.after_key, read.consistency, done);
    case ReadStart::Kind::kWatch:
      return store_->Watch(read.after_revision, read.wait, done);
    case ReadStart::Kind::kRevision:
      return store_->ReadRevision(done);
  }
}

void StoreFeed::FinishRead(StoreAnswer answer, TimePoint started) {
  const TimePoint now = context_.clock.Now();
  LogStoreRead(answer, now - started);
  if (answer.kind != StoreAnswer::Kind::kItems) {
    Log(LogLevel::kWarning, "store_read_failed",
        {{"reason", answer.reason},
         {"revision", FeedRevision(context_.feed).number}});
  } else if (!answer.reason.empty()) {
    applier_.ReportUnreadable(answer.reason);
  }
  AddPatches(context_.feed, answer.items);
  Run(FinishStoreRead(context_.feed, CurrentTopology(), std::move(answer),
                      now));
}

// If this instance is the leader of its data centre, sends the new revision to
// the leaders of the other data centres at once, but not more often than every
// kLeaderSendInterval. A leader whose own watch of the store has missed the
// changes then requests them from this instance.
void StoreFeed::SendToOtherLeaders() {
  const FleetViewPtr view = ViewFleet(context_.fleet);
  const TimePoint now = context_.clock.Now();
  if (view->rank > 0 || now - sent_to_leaders_at_.load() < kLeaderSendInterval)
    return;
  sent_to_leaders_at_ = now;
  FleetHeartbeat heartbeat;
  FillFeedState(context_.feed, now, heartbeat);
  context_.peers.SendAll(view->remote_peers, heartbeat);
}

}  // namespace mangodoor
