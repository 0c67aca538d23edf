#include "process/io/feed_log.h"

#include <string>
#include <variant>

#include "process/io/log.h"

namespace mangodoor {
namespace {

size_t PatchBytes(const StoreItem& item) {
  size_t bytes = 0;
  for (const ValuePatch& patch : item.patches)
    bytes += patch.bytes.size();
  return bytes;
}

size_t BytesOf(const std::vector<StoreItem>& items) {
  size_t bytes = 0;
  for (const StoreItem& item : items)
    bytes += item.key.size() + item.value.size() + PatchBytes(item);
  return bytes;
}

double BehindMs(const std::optional<Duration>& behind_for) {
  return Milliseconds(behind_for.value_or(Duration::zero()));
}

void LogSent(const std::string& to,
             size_t receivers,
             const StoreChanges& changes) {
  if (changes.items.empty())
    return;
  Log(LogLevel::kInfo, "feed_sent",
      {{"to", to},
       {"receivers", receivers},
       {"after", changes.after.number},
       {"up_to", changes.up_to.number},
       {"items", changes.items.size()},
       {"bytes", BytesOf(changes.items)}});
}

}  // namespace

void LogStoreRead(const StoreAnswer& answer, Duration took) {
  if (answer.items.empty())
    return;
  Log(LogLevel::kInfo, "store_read",
      {{"revision", answer.revision.number},
       {"items", answer.items.size()},
       {"bytes", BytesOf(answer.items)},
       {"took_ms", Milliseconds(took)}});
}

void LogReload(const ReloadSummary& reload) {
  Log(LogLevel::kInfo, "store_reloaded",
      {{"revision", reload.revision.number},
       {"pages", reload.pages},
       {"newest_page", reload.newest_page.number}});
}

void LogRestoration(const RestorationSummary& restored) {
  Log(LogLevel::kWarning, "store_restored",
      {{"era_before", restored.before.era},
       {"revision_before", restored.before.number},
       {"era", restored.after.era},
       {"revision", restored.after.number},
       {"carried", restored.carried}});
}

void LogUpdateReceived(const InstanceId& from,
                       const FeedUpdate& update,
                       const FeedActions& actions) {
  const StoreChanges& changes = update.changes;
  if (changes.items.empty())
    return;
  Log(LogLevel::kInfo, "feed_received",
      {{"from", from.value()},
       {"after", changes.after.number},
       {"up_to", changes.up_to.number},
       {"items", changes.items.size()},
       {"new_items", actions.changed_items.size()},
       {"bytes", BytesOf(changes.items)},
       {"behind_ms", BehindMs(actions.behind_for)}});
}

void LogFeedMessage(const OutgoingMessage& outgoing,
                    const std::optional<Duration>& behind_for) {
  if (const auto* request = std::get_if<FeedRequest>(&outgoing.message)) {
    Log(LogLevel::kInfo, "feed_requested",
        {{"from", outgoing.to.value()},
         {"after", request->after.number},
         {"behind_ms", BehindMs(behind_for)}});
  } else if (const auto* update = std::get_if<FeedUpdate>(&outgoing.message)) {
    LogSent(outgoing.to.value(), 1, update->changes);
  }
}

void LogFeedPush(const FeedPush& push) {
  LogSent("several", push.to.size(), push.update.changes);
}

}  // namespace mangodoor
