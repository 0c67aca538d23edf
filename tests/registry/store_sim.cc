#include "registry/store_sim.h"

#include <algorithm>

#include "process/peers/io/peer_codec.h"
#include "process/registry/io/feed_patches.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

constexpr Duration kTick = milliseconds(50);
constexpr Duration kReadLatency = milliseconds(50);
constexpr Duration kReadTimeout = milliseconds(800);
constexpr Duration kHeartbeatInterval = milliseconds(400);

// Longer messages arrive in parts.
constexpr size_t kPartBytes = 32 * 1024;

// The store sends values in base64.
constexpr double kStoreBytesPerByte = 4.0 / 3.0;

// Reads that may be stale cost a tenth of others.
constexpr double kPriceOfCheck = 0.1;

size_t BytesOf(const std::vector<StoreItem>& items) {
  size_t bytes = 0;
  for (const StoreItem& item : items)
    bytes += item.key.size() + item.value.size();
  return bytes;
}

Duration TransferTime(size_t bytes, const SimMachine& machine) {
  if (machine.link_bytes_per_s == 0)
    return Duration::zero();
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      static_cast<double>(bytes) / machine.link_bytes_per_s));
}

std::unique_ptr<Feed> MakeFeed() {
  auto feed = std::make_unique<Feed>();
  feed->lapses_alone = [](const std::string& key) {
    return key.rfind("servers/", 0) == 0;
  };
  return feed;
}

}  // namespace

void SimStore::Put(const std::string& key, const std::string& value) {
  StoreItem item;
  item.key = key;
  item.value = value;
  item.revision = ++revision_;
  items_[key] = item;
  history_.push_back(item);
  all_changes_.push_back(item);
}

void SimStore::Delete(const std::string& key) {
  if (items_.erase(key) == 0)
    return;
  StoreItem item;
  item.key = key;
  item.revision = ++revision_;
  item.deleted = true;
  history_.push_back(item);
  all_changes_.push_back(item);
}

void SimStore::Compact() {
  history_.clear();
  history_after_ = revision_;
}

void SimStore::Restore(uint64_t revision) {
  items_ = ItemsAt(revision);
  const auto is_lost = [revision](const StoreItem& change) {
    return change.revision > revision;
  };
  history_.erase(std::remove_if(history_.begin(), history_.end(), is_lost),
                 history_.end());
  all_changes_.erase(
      std::remove_if(all_changes_.begin(), all_changes_.end(), is_lost),
      all_changes_.end());
  history_after_ = std::min(history_after_, revision);
  revision_ = revision;
  ++era_;
}

void SimStore::SetEra(StoreAnswer& answer) const {
  answer.names_era = true;
  answer.revision.era = era_;
  for (StoreItem& item : answer.items)
    item.revision.era = era_;
}

std::map<std::string, StoreItem> SimStore::ItemsAt(uint64_t revision) const {
  std::map<std::string, StoreItem> items;
  for (const StoreItem& change : all_changes_) {
    if (change.revision > revision)
      break;
    if (change.deleted)
      items.erase(change.key);
    else
      items[change.key] = change;
  }
  return items;
}

StoreAnswer SimStore::StalePage(const std::string& after_key,
                                uint64_t revision) const {
  StoreAnswer answer;
  answer.kind = StoreAnswer::Kind::kItems;
  answer.revision = std::max<uint64_t>(revision, 1);
  const std::map<std::string, StoreItem> items =
      ItemsAt(answer.revision.number);
  for (auto it = items.upper_bound(after_key); it != items.end(); ++it) {
    if (answer.items.size() == page_size_) {
      answer.more = true;
      break;
    }
    answer.items.push_back(it->second);
  }
  SetEra(answer);
  return answer;
}

StoreAnswer SimStore::Changes(uint64_t revision) const {
  StoreAnswer answer;
  answer.revision = revision_;
  if (revision < history_after_ || revision > revision_) {
    answer.kind = StoreAnswer::Kind::kCompacted;
    return answer;
  }
  answer.kind = StoreAnswer::Kind::kItems;
  for (const StoreItem& item : history_) {
    if (item.revision > revision)
      answer.items.push_back(item);
  }
  if (answer.items.size() > max_usable_changes)
    answer.kind = StoreAnswer::Kind::kUnusable;
  SetEra(answer);
  return answer;
}

std::map<std::string, std::string> SimStore::contents() const {
  std::map<std::string, std::string> contents;
  for (const auto& [key, item] : items_)
    contents[key] = item.value;
  return contents;
}

RegistrySim::RegistrySim(int data_centres, int instances_each, size_t page_size)
    : store_(page_size) {
  for (int d = 0; d < data_centres; ++d) {
    for (int i = 0; i < instances_each; ++i) {
      auto instance = std::make_unique<SimFeedInstance>();
      instance->id = InstanceId(std::to_string(d) + "-" + std::to_string(i));
      instance->data_centre = d;
      instance->rank = static_cast<size_t>(i);
      instance->feed = MakeFeed();
      instances_.push_back(std::move(instance));
    }
  }
}

void RegistrySim::Restart(int index) {
  SimFeedInstance& restarted = instance(index);
  restarted.feed = MakeFeed();
  restarted.read.reset();
  restarted.answer.reset();
  restarted.applied.clear();
  restarted.kept.clear();
  restarted.decoding.clear();
  restarted.next_heartbeat.reset();
  restarted.running = true;
}

void RegistrySim::Stop(int index) {
  instance(index).running = false;
  for (auto& other : instances_)
    ForgetPeer(*other->feed, instance(index).id);
}

// Links as in the fleet: every instance to the three hubs of its data centre,
// and the leaders to each other.
bool RegistrySim::Linked(const SimFeedInstance& a,
                         const SimFeedInstance& b) const {
  if (&a == &b || !a.running || !b.running)
    return false;
  if (a.data_centre != b.data_centre)
    return a.rank == 0 && b.rank == 0 && !a.cut_off_from_others &&
           !b.cut_off_from_others;
  return a.rank < 3 || b.rank < 3;
}

FeedTopology RegistrySim::TopologyOf(const SimFeedInstance& instance) const {
  FeedTopology topology;
  topology.rank = instance.rank;
  topology.pushing_hubs = pushing_hubs;
  for (const auto& other : instances_) {
    if (Linked(instance, *other) && other->data_centre == instance.data_centre)
      topology.local_peers[other->id] = other->rank;
  }
  return topology;
}

void RegistrySim::ApplyActions(SimFeedInstance& instance, FeedActions actions) {
  for (OutgoingMessage& outgoing : actions.messages) {
    instance.updates +=
        std::holds_alternative<FeedUpdate>(outgoing.message) ? 1 : 0;
    const size_t bytes = EncodePeerMessage(outgoing.message).size();
    Enqueue(instance, std::move(outgoing), bytes);
  }
  for (const FeedPush& push : actions.pushes) {
    instance.updates += static_cast<int>(push.to.size());
    const size_t bytes = EncodePeerMessage(push.update).size();
    for (const InstanceId& to : push.to)
      Enqueue(instance, {to, push.update}, bytes);
  }
  for (const StoreItem& item : actions.changed_items)
    instance.kept[item.key] = item;
  Decode(instance);
  StartRead(instance, actions.read);
}

void RegistrySim::Enqueue(SimFeedInstance& sender,
                          OutgoingMessage outgoing,
                          size_t bytes) {
  sender.sent_at =
      std::max(sender.sent_at, now_) + TransferTime(bytes, sender.machine);
  TimePoint arrives_at = sender.sent_at;
  for (auto& receiver : instances_) {
    if (receiver->id != outgoing.to)
      continue;
    receiver->received_at = std::max(receiver->received_at, sender.sent_at) +
                            TransferTime(bytes, receiver->machine);
    arrives_at = receiver->received_at;
  }
  messages_.push_back({sender.id, std::move(outgoing), arrives_at, bytes});
}

void RegistrySim::Decode(SimFeedInstance& instance) {
  if (now_ < instance.decoded_at)
    return;
  for (const auto& [key, item] : instance.decoding) {
    if (item.deleted)
      instance.applied.erase(key);
    else
      instance.applied[key] = item.value;
  }
  instance.decoding.clear();
  if (instance.kept.empty())
    return;
  instance.decoding.swap(instance.kept);
  instance.decoded_at = now_;
  for (const auto& [key, item] : instance.decoding) {
    instance.decoded_at += instance.machine.decode_time_per_byte *
                           static_cast<int64_t>(item.value.size());
  }
  Decode(instance);
}

void RegistrySim::StartRead(SimFeedInstance& instance, const ReadStart& read) {
  if (read.kind == ReadStart::Kind::kNone)
    return;
  instance.store_requests +=
      read.kind == ReadStart::Kind::kRevision ? kPriceOfCheck : 1;
  instance.read = read;
  instance.read_ends = now_ + kReadLatency;
}

void RegistrySim::AdvanceRead(SimFeedInstance& instance) {
  FinishRead(instance);
  if (!instance.read)
    return;
  const ReadStart read = *instance.read;
  StoreAnswer answer;
  const TimePoint timed_out_at = instance.read_ends + read.wait + kReadTimeout;
  if (instance.behaviour == StoreBehaviour::kLosesWatch) {
    if (now_ < timed_out_at)
      return;
    instance.behaviour = StoreBehaviour::kServes;
  } else if (instance.behaviour == StoreBehaviour::kSilent) {
    if (now_ < timed_out_at)
      return;
  } else if (now_ < instance.read_ends) {
    return;
  } else if (instance.behaviour == StoreBehaviour::kRefuses) {
    answer.kind = StoreAnswer::Kind::kRefused;
  } else if (read.kind == ReadStart::Kind::kPage) {
    answer = AnswerPage(read);
  } else if (read.kind == ReadStart::Kind::kRevision) {
    answer = store_.StalePage("~", store_.revision());
  } else {
    answer = store_.Changes(read.after_revision);
    const bool waits = answer.kind == StoreAnswer::Kind::kItems &&
                       answer.items.empty() &&
                       now_ < instance.read_ends + read.wait;
    if (waits)
      return;
  }
  const auto body_bytes = static_cast<size_t>(
      static_cast<double>(BytesOf(answer.items)) * kStoreBytesPerByte);
  instance.read.reset();
  instance.answer = std::move(answer);
  instance.answer_arrives_at =
      now_ + TransferTime(body_bytes, instance.machine);
  FinishRead(instance);
}

void RegistrySim::FinishRead(SimFeedInstance& instance) {
  if (!instance.answer || now_ < instance.answer_arrives_at)
    return;
  StoreAnswer answer = std::move(*instance.answer);
  instance.answer.reset();
  AddPatches(*instance.feed, answer.items);
  ApplyActions(instance, FinishStoreRead(*instance.feed, TopologyOf(instance),
                                         std::move(answer), now_));
}

StoreAnswer RegistrySim::AnswerPage(const ReadStart& read) {
  if (read.consistency == ReadConsistency::kCurrent)
    return store_.Page(read.after_key);
  const uint64_t lag = stale_lags_.at(stale_reads_++ % stale_lags_.size());
  const uint64_t revision = store_.revision();
  return store_.StalePage(read.after_key, revision - std::min(lag, revision));
}

void RegistrySim::SendHeartbeat(SimFeedInstance& instance) {
  if (instance.next_heartbeat && now_ < *instance.next_heartbeat)
    return;
  instance.next_heartbeat = now_ + kHeartbeatInterval;
  FleetHeartbeat heartbeat;
  FillFeedState(*instance.feed, now_, heartbeat);
  const size_t bytes = EncodePeerMessage(heartbeat).size();
  for (const auto& other : instances_) {
    if (Linked(instance, *other))
      Enqueue(instance, {other->id, heartbeat}, bytes);
  }
}

void RegistrySim::Deliver() {
  std::vector<Message> messages;
  for (auto it = messages_.begin(); it != messages_.end();) {
    if (it->arrives_at > now_) {
      ReportProgress(*it);
      ++it;
      continue;
    }
    messages.push_back(std::move(*it));
    it = messages_.erase(it);
  }
  for (const Message& message : messages) {
    for (auto& receiver : instances_) {
      if (receiver->id != message.outgoing.to || !receiver->running)
        continue;
      const PeerMessage& content = message.outgoing.message;
      const FeedTopology topology = TopologyOf(*receiver);
      if (const auto* heartbeat = std::get_if<FleetHeartbeat>(&content))
        ApplyActions(*receiver,
                     HandleFeedHeartbeat(*receiver->feed, topology,
                                         message.from, *heartbeat, now_));
      if (const auto* request = std::get_if<FeedRequest>(&content))
        ApplyActions(*receiver, HandleFeedRequest(*receiver->feed, message.from,
                                                  *request, now_));
      const auto* update = std::get_if<FeedUpdate>(&content);
      if (update && update->changes.items.size() <= max_update_items)
        HandleUpdate(*receiver, message.from, *update, message.bytes);
    }
  }
}

void RegistrySim::ReportProgress(const Message& message) {
  for (auto& receiver : instances_) {
    if (receiver->id != message.outgoing.to || !receiver->running)
      continue;
    const Duration transfer = TransferTime(message.bytes, receiver->machine);
    if (message.bytes > kPartBytes && message.arrives_at - transfer < now_)
      RecordFeedProgress(*receiver->feed, now_);
  }
}

void RegistrySim::HandleUpdate(SimFeedInstance& receiver,
                               const InstanceId& from,
                               const FeedUpdate& update,
                               size_t bytes) {
  FeedUpdate expanded = update;
  FeedActions actions =
      ExpandPatches(*receiver.feed, expanded.changes)
          ? HandleFeedUpdate(*receiver.feed, TopologyOf(receiver), from,
                             expanded, now_)
          : RequestWholeValues(*receiver.feed, from, update, now_);
  receiver.update_bytes += bytes;
  if (actions.changed_items.empty())
    receiver.useless_update_bytes += bytes;
  ApplyActions(receiver, std::move(actions));
}

void RegistrySim::RunFor(Duration duration) {
  const TimePoint end = now_ + duration;
  while (now_ < end) {
    now_ += kTick;
    for (auto& instance : instances_) {
      if (!instance->running)
        continue;
      AdvanceRead(*instance);
      Decode(*instance);
      ApplyActions(*instance,
                   TickFeed(*instance->feed, TopologyOf(*instance), now_));
      SendHeartbeat(*instance);
    }
    Deliver();
  }
}

double RegistrySim::store_requests() const {
  double store_requests = 0;
  for (const auto& instance : instances_)
    store_requests += instance->store_requests;
  return store_requests;
}

bool RegistrySim::IsCurrent(int index) const {
  return instances_.at(static_cast<size_t>(index))->applied ==
         store_.contents();
}

bool RegistrySim::AllCurrent() const {
  for (int i = 0; i < static_cast<int>(instances_.size()); ++i) {
    if (instances_.at(static_cast<size_t>(i))->running && !IsCurrent(i))
      return false;
  }
  return true;
}

}  // namespace mangodoor
