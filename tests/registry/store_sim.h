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

/** A simulated platform store: items, a revision and a history of changes. */
class SimStore {
 public:
  explicit SimStore(size_t page_size) : page_size_(page_size) {}

  void Put(const std::string& key, const std::string& value);
  void Delete(const std::string& key);
  /** Discards the history up to now. */
  void Compact();
  /**
   * Goes back to the state at `revision`, and begins a new era. What was
   * written since is lost.
   */
  void Restore(uint64_t revision);
  /** Answers to a watch with more changes than this are unusable. */
  size_t max_usable_changes = SIZE_MAX;
  StoreAnswer Page(const std::string& after_key) const {
    return StalePage(after_key, revision_);
  }
  /** A page as it was at `revision`, or the first one if that is earlier. */
  StoreAnswer StalePage(const std::string& after_key, uint64_t revision) const;
  /** Changes after `revision`; no items if there are none yet. */
  StoreAnswer Changes(uint64_t revision) const;
  uint64_t revision() const { return revision_; }
  uint64_t era() const { return era_; }
  std::map<std::string, std::string> contents() const;

 private:
  /** Gives the answer and its items the era. */
  void SetEra(StoreAnswer& answer) const;
  /** The items as they were at `revision`. */
  std::map<std::string, StoreItem> ItemsAt(uint64_t revision) const;

  size_t page_size_;
  std::map<std::string, StoreItem> items_;
  std::deque<StoreItem> history_;
  /** All changes ever made, for stale reads. */
  std::vector<StoreItem> all_changes_;
  uint64_t history_after_ = 1;
  uint64_t revision_ = 1;
  uint64_t era_ = 0;
};

/** How the store responds to one instance. */
enum class StoreBehaviour {
  kServes,
  kRefuses,
  kSilent,
  /** The running read times out without an answer; later ones are served. */
  kLosesWatch,
};

/** What the machine of a simulated instance can do. */
struct SimMachine {
  /** Bytes per second in each direction; 0 if it is not limited. */
  double link_bytes_per_s = 0;
  /** Time to decode a byte of a value and put it into force. */
  Duration decode_time_per_byte{};
};

/** A simulated instance that reads the store or gets changes from others. */
struct SimFeedInstance {
  InstanceId id;
  int data_centre = 0;
  size_t rank = 0;
  std::unique_ptr<Feed> feed;
  StoreBehaviour behaviour = StoreBehaviour::kServes;
  /** True if it does not reach the instances of other data centres. */
  bool cut_off_from_others = false;
  /**
   * The running read. The store answers at `read_ends`; a watch without changes
   * is answered later.
   */
  std::optional<ReadStart> read;
  TimePoint read_ends{};
  /** The answer to a read that is still on its way. */
  std::optional<StoreAnswer> answer;
  TimePoint answer_arrives_at{};
  std::optional<TimePoint> next_heartbeat;
  SimMachine machine;
  /** When the link has sent, and received, all messages so far. */
  TimePoint sent_at{};
  TimePoint received_at{};
  /** Changes by key that wait while others are decoded. */
  std::map<std::string, StoreItem> kept;
  /** Changes by key that are decoded until `decoded_at`. */
  std::map<std::string, StoreItem> decoding;
  TimePoint decoded_at{};
  /** Values by key after all changes that came into force. */
  std::map<std::string, std::string> applied;
  /**
   * Requests to the store, as they are priced: a check of the revision costs a
   * tenth.
   */
  double store_requests = 0;
  /** Number of updates sent to other instances. */
  int updates = 0;
  /** Bytes of updates received, and of those that brought nothing new. */
  size_t update_bytes = 0;
  size_t useless_update_bytes = 0;
  bool running = true;
};

/** Simulates the instances of several data centres with one store. */
class RegistrySim {
 public:
  RegistrySim(int data_centres, int instances_each, size_t page_size);

  SimStore& store() { return store_; }
  TimePoint now() const { return now_; }
  SimFeedInstance& instance(int index) {
    return *instances_.at(static_cast<size_t>(index));
  }
  int size() const { return static_cast<int>(instances_.size()); }
  /** Restarts an instance without any state. */
  void Restart(int index);
  void Stop(int index);
  void RunFor(Duration duration);
  /**
   * Reads that may be stale are behind by these numbers of revisions, in turn.
   */
  void SetStaleLags(std::vector<uint64_t> lags) {
    stale_lags_ = std::move(lags);
    stale_reads_ = 0;
  }
  /** Hubs of lower ranks than this push changes. */
  size_t pushing_hubs = kHubsPerDataCentre;
  /** Updates with more items than this are not delivered. */
  size_t max_update_items = SIZE_MAX;
  double store_requests() const;
  /** True if every running instance has exactly the store's contents. */
  bool AllCurrent() const;
  bool IsCurrent(int index) const;

 private:
  struct Message {
    InstanceId from;
    OutgoingMessage outgoing;
    TimePoint arrives_at{};
    size_t bytes = 0;
  };

  FeedTopology TopologyOf(const SimFeedInstance& instance) const;
  bool Linked(const SimFeedInstance& a, const SimFeedInstance& b) const;
  void ApplyActions(SimFeedInstance& instance, FeedActions actions);
  void StartRead(SimFeedInstance& instance, const ReadStart& read);
  void AdvanceRead(SimFeedInstance& instance);
  /** Handles the answer to a read once it has arrived. */
  void FinishRead(SimFeedInstance& instance);
  /** Adds a message to the queues of both links. */
  void Enqueue(SimFeedInstance& sender, OutgoingMessage outgoing, size_t bytes);
  void HandleUpdate(SimFeedInstance& receiver,
                    const InstanceId& from,
                    const FeedUpdate& update,
                    size_t bytes);
  /** Tells the receiver of a long message that parts of it have arrived. */
  void ReportProgress(const Message& message);
  /** Puts decoded changes into force, and decodes those that wait. */
  void Decode(SimFeedInstance& instance);
  StoreAnswer AnswerPage(const ReadStart& read);
  void SendHeartbeat(SimFeedInstance& instance);
  void Deliver();

  SimStore store_;
  std::vector<std::unique_ptr<SimFeedInstance>> instances_;
  std::deque<Message> messages_;
  std::vector<uint64_t> stale_lags_{0};
  size_t stale_reads_ = 0;
  TimePoint now_{std::chrono::hours(1)};
};

}  // namespace mangodoor

#endif  // TESTS_REGISTRY_STORE_SIM_H_
