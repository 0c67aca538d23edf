#ifndef TESTS_REGISTRY_STORE_SIM_H_
#define TESTS_REGISTRY_STORE_SIM_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "process/registry/feed.h"

namespace mangodoor {

/** The platform's store: items, one revision, and a history that may go. */
class SimStore {
 public:
  explicit SimStore(size_t page_size) : page_size_(page_size) {}

  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  /** Discards the history up to now. */
  void Compact();
  StoreAnswer Page(const std::string& after_key) const;
  /** Changes after `revision`; empty if there are none yet. */
  StoreAnswer Changes(uint64_t revision) const;
  uint64_t revision() const { return revision_; }
  std::map<std::string, std::string> contents() const;

 private:
  size_t page_size_;
  std::map<std::string, StoreItem> items_;
  std::deque<StoreItem> history_;
  uint64_t history_after_ = 1;
  uint64_t revision_ = 1;
};

/** How the store treats one instance. */
enum class StoreMood {
  kServes,
  kRefuses,
  kSilent,
  /** The watch that waits now never ends; later reads are served. */
  kLosesWatch,
};

/** An instance that reads the store or hears from others. */
struct SimReader {
  InstanceId id;
  int data_centre = 0;
  size_t rank = 0;
  std::unique_ptr<Feed> feed;
  StoreMood mood = StoreMood::kServes;
  /** The read under way, and when it ends at the latest. */
  std::optional<ReadStart> read;
  TimePoint read_ends{};
  std::optional<TimePoint> next_heartbeat;
  /** What the changes that came into force add up to. */
  std::map<std::string, std::string> applied;
  int calls = 0;
  /** Updates sent to other instances. */
  int updates = 0;
  bool runs = true;
};

/** Several instances in data centres, with one store. */
class RegistrySim {
 public:
  RegistrySim(int data_centres, int instances_each, size_t page_size);

  SimStore& store() { return store_; }
  SimReader& reader(int index) {
    return *readers_.at(static_cast<size_t>(index));
  }
  int size() const { return static_cast<int>(readers_.size()); }
  /** Starts an instance with nothing. */
  void Restart(int index);
  void Stop(int index);
  void RunFor(Duration duration);
  int calls() const;
  /** True if every instance that runs has just what the store holds. */
  bool AllCurrent() const;
  bool IsCurrent(int index) const;

 private:
  FeedTopology TopologyOf(const SimReader& reader) const;
  bool Linked(const SimReader& a, const SimReader& b) const;
  void Carry(SimReader& reader, FeedActions actions);
  void Begin(SimReader& reader, const ReadStart& read);
  void AdvanceRead(SimReader& reader);
  void SendHeartbeat(SimReader& reader);
  void Deliver();

  SimStore store_;
  std::vector<std::unique_ptr<SimReader>> readers_;
  struct Message {
    InstanceId from;
    OutgoingMessage outgoing;
  };
  std::deque<Message> messages_;
  TimePoint now_{std::chrono::hours(1)};
};

}  // namespace mangodoor

#endif  // TESTS_REGISTRY_STORE_SIM_H_
