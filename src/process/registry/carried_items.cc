#include "process/registry/carried_items.h"

#include <algorithm>
#include <utility>

namespace mangodoor {
namespace {

// Owners that live and reach the store have renewed their items within two
// seconds of its return.
constexpr Duration kRenewalTime = std::chrono::milliseconds(2500);

// Others have to notice the loss first. An item that they never write again, or
// whose deletion they do not repeat, is believed after this time.
constexpr Duration kRepeatTime = std::chrono::seconds(30);

// Peers that carry items report it with each heartbeat, and answer at once.
constexpr Duration kPeerAnswerTime = std::chrono::milliseconds(1200);

/** The item in the replica, or its deletion. */
StoreItem ItemIn(const StoreReplica& replica, const std::string& key) {
  const auto found = replica.items.find(key);
  if (found != replica.items.end())
    return found->second;
  StoreItem deletion;
  deletion.key = key;
  deletion.deleted = true;
  return deletion;
}

// What is put into force because of a restoration, and not of a change of the
// store, takes the revision that the replica has reached, so that it replaces
// what was in force before.
StoreItem AsOf(StoreItem item, const StoreReplica& replica) {
  item.revision = replica.revision;
  return item;
}

/** The item that was in force before the restoration. */
StoreItem ItemBefore(const CarriedItems& carried,
                     const StoreReplica& before,
                     const std::string& key) {
  const auto found = carried.find(key);
  return found != carried.end() ? found->second.item : ItemIn(before, key);
}

bool IsSame(const StoreItem& a, const StoreItem& b) {
  return a.deleted == b.deleted && a.value == b.value;
}

/** True if the item was in this state before a change that is known. */
bool IsFormerState(const StoreReplica& before, const StoreItem& item) {
  const ItemState state = StateOf(item);
  return std::any_of(before.recent.begin(), before.recent.end(),
                     [&](const RecentChange& change) {
                       return change.key == item.key &&
                              change.replaced.number == state.number &&
                              change.replaced.value_hash == state.value_hash;
                     });
}

/** True if the item was in this state when the replica had it. */
bool WasKnown(const StoreReplica& before, const StoreItem& item) {
  const auto known = before.items.find(item.key);
  const bool is_unchanged =
      known != before.items.end() &&
      known->second.revision.number == item.revision.number &&
      known->second.value == item.value;
  return is_unchanged || IsFormerState(before, item);
}

/**
 * A number up to which the restored store lost nothing: that of its latest item
 * that was known before.
 */
uint64_t LastKeptNumber(const Restoration& restoration) {
  uint64_t last = 0;
  for (const auto& [key, item] : restoration.after.items) {
    if (item.revision.number > last && WasKnown(restoration.before, item))
      last = item.revision.number;
  }
  return last;
}

/** What an instance concludes from its copies of before and after. */
enum class Finding {
  /** The store was changed since it was restored. */
  kChanged,
  /** The restored store has lost what was known of the item. */
  kLost,
  /** Either of these. */
  kUnclear,
};

/** What an instance knows of the time before the restoration. */
struct History {
  const StoreReplica& before;
  /** The store lost nothing up to this number, and maybe all that follows. */
  uint64_t last_kept = 0;
  /** True if all changes that the store can have lost are known. */
  bool is_complete = false;
};

History HistoryOf(const Restoration& restoration) {
  const StoreReplica& before = restoration.before;
  const uint64_t last_kept = LastKeptNumber(restoration);
  const bool is_complete = before.recent_after.era < before.revision.era ||
                           before.recent_after.number <= last_kept;
  return {before, last_kept, is_complete};
}

Finding Compare(const StoreItem& known,
                const StoreItem& restored,
                const History& history) {
  if (restored.deleted) {
    return !known.deleted && known.revision.number > history.last_kept
               ? Finding::kLost
               : Finding::kChanged;
  }
  if (IsFormerState(history.before, restored))
    return Finding::kLost;
  const bool may_be_older =
      known.deleted || restored.revision.number < known.revision.number;
  return may_be_older && !history.is_complete ? Finding::kUnclear
                                              : Finding::kChanged;
}

Duration TimeToCarry(Finding finding,
                     const StoreItem& restored,
                     LapsesAlone lapses_alone) {
  if (finding == Finding::kUnclear)
    return kPeerAnswerTime;
  const bool is_renewed =
      restored.deleted && lapses_alone && lapses_alone(restored.key);
  return is_renewed ? kRenewalTime : kRepeatTime;
}

}  // namespace

CarryResult CarryOver(CarriedItems& carried,
                      const Restoration& restoration,
                      LapsesAlone lapses_alone,
                      TimePoint now) {
  CarryResult result;
  const History history = HistoryOf(restoration);
  result.complete = history.is_complete;
  for (const StoreItem& restored : restoration.changed_items) {
    StoreItem known = ItemBefore(carried, restoration.before, restored.key);
    const Finding finding = Compare(known, restored, history);
    if (IsSame(known, restored)) {
      carried.erase(restored.key);
    } else if (finding == Finding::kChanged) {
      carried.erase(restored.key);
      result.changed_items.push_back(restored);
    } else {
      carried[restored.key] = {
          std::move(known), now + TimeToCarry(finding, restored, lapses_alone)};
    }
  }
  return result;
}

void DropWritten(CarriedItems& carried,
                 const std::vector<StoreItem>& written,
                 std::vector<StoreItem>& changed_items) {
  for (const StoreItem& item : written) {
    if (carried.erase(item.key) == 0)
      continue;
    // The replica does not notice the deletion of an item that it lacks.
    const bool is_listed = std::any_of(
        changed_items.begin(), changed_items.end(),
        [&](const StoreItem& changed) { return changed.key == item.key; });
    if (!is_listed)
      changed_items.push_back(item);
  }
  for (const StoreItem& item : changed_items)
    carried.erase(item.key);
}

std::vector<CarriedNotice> NoticesOf(const CarriedItems& carried,
                                     TimePoint now) {
  std::vector<CarriedNotice> notices;
  notices.reserve(carried.size());
  for (const auto& [key, item] : carried)
    notices.push_back(
        {item.item, std::max(Duration::zero(), item.until - now)});
  return notices;
}

std::vector<StoreItem> AddCarried(CarriedItems& carried,
                                  const PeerNotices& peer,
                                  const StoreReplica& replica,
                                  TimePoint now) {
  std::vector<StoreItem> in_force;
  if (peer.up_to.era != replica.revision.era)
    return in_force;
  for (const CarriedNotice& notice : peer.notices) {
    const std::string& key = notice.item.key;
    const StoreItem restored = ItemIn(replica, key);
    const auto own = carried.find(key);
    const bool is_newer = own != carried.end() &&
                          own->second.item.revision > notice.item.revision;
    // The peer does not know yet that the item was written again.
    const bool is_outdated = restored.revision > peer.up_to;
    if (is_newer || is_outdated)
      continue;
    const StoreItem& current =
        own != carried.end() ? own->second.item : restored;
    if (!IsSame(current, notice.item))
      in_force.push_back(AsOf(notice.item, replica));
    const TimePoint own_until =
        own != carried.end() ? own->second.until : TimePoint();
    carried[key] = {notice.item, std::max(own_until, now + notice.left)};
  }
  return in_force;
}

std::vector<StoreItem> TakeExpired(CarriedItems& carried,
                                   const StoreReplica& replica,
                                   TimePoint now) {
  std::vector<StoreItem> in_force;
  for (auto it = carried.begin(); it != carried.end();) {
    if (now < it->second.until) {
      ++it;
      continue;
    }
    in_force.push_back(AsOf(ItemIn(replica, it->first), replica));
    it = carried.erase(it);
  }
  return in_force;
}

}  // namespace mangodoor
