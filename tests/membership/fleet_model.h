#ifndef TESTS_MEMBERSHIP_FLEET_MODEL_H_
#define TESTS_MEMBERSHIP_FLEET_MODEL_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "process/fake_clock.h"
#include "process/versions/version_propagation.h"

namespace mangodoor {

/** How the configuration service responds to one instance. */
enum class ServiceMode { kOk, kDown, kStale, kConflict };

/** One step of a model run: a fault, a change, or time that passes. */
struct Step {
  enum class Kind {
    kAdvance,
    kPublish,
    kSetService,
    kPartition,
    kHeal,
    kPause,
    kReplace,
    kSetNetwork,
  };
  Kind kind = Kind::kAdvance;
  int slot = 0;
  /** A service mode, a bit set of slots, or a level of network faults. */
  int choice = 0;
  int duration_ms = 0;
};

/** The latest confirmed read that a peer knew of when it sent a heartbeat. */
struct RelayedRead {
  TimePoint sent_at{};
  TimePoint read_at{};
  /** Version and digest that the peer held. */
  uint64_t version = 0;
  std::string digest;
};

/** A simulated instance, and what the oracle knows about it. */
struct ModelInstance {
  Instance self;
  VersionTable versions;
  MembershipTable membership;
  TimePoint paused_until{};
  ServiceMode service = ServiceMode::kOk;
  uint64_t stale_version = 0;
  // The next five are actual times, unlike the estimates in the tables.

  /** When the latest heartbeat received from each peer was sent. */
  std::map<InstanceId, TimePoint> heard_sent_at;
  /** The same, but only for heartbeats of peers that were not joining. */
  std::map<InstanceId, TimePoint> heard_serving_at;
  /** What the latest heartbeat of each peer says of reads. */
  std::map<InstanceId, RelayedRead> relayed_reads;
  /**
   * The latest confirmed read, its own or of a peer that it heard from and that
   * held the same document.
   */
  TimePoint read_at{};
  /** The latest contact with half of the fleet. */
  TimePoint half_fleet_heard_at{};
  /** Version and digest at the oracle's last check. */
  uint64_t seen_version = 0;
  std::string seen_digest;
  TimePoint ticked_at{};
};

/**
 * A model of several instances, with a configuration service, a list of
 * instances and a network that can fail. The first violation of an invariant is
 * recorded as text, which is empty if all invariants held.
 */
class FleetModel {
 public:
  FleetModel(unsigned seed, PropagationOptions options);

  void Apply(const Step& step);

  /**
   * Ends all faults, publishes a new version, and makes the service reachable
   * by one instance only.
   */
  void EndFaults();
  void Advance(Duration duration);

  /**
   * Records a violation if an instance lacks the newest version, is not in
   * service, or is fenced.
   */
  void CheckSettled();

  const std::string& violation() const { return violation_; }

 private:
  struct InFlightMessage {
    InstanceId from;
    InstanceId to;
    PeerMessage message;
    TimePoint sent_at;
    TimePoint due;
    TimePoint sender_read_at;
    bool sender_serving = false;
  };
  struct PendingRead {
    InstanceId reader;
    FinishedRead read;
    TimePoint due;
  };

  void StartInstance(int slot);
  void PublishList();
  void Tick();
  void TickInstance(ModelInstance& instance);
  void SendAll(ModelInstance& from, const std::vector<OutgoingMessage>& out);
  void Deliver();
  void Receive(ModelInstance& to, const InFlightMessage& in_flight);
  void StartRead(ModelInstance& instance, ReadKind kind, uint64_t known);
  void FinishReads();
  void FinishRead(ModelInstance& instance, FinishedRead read);
  VersionPtr ServedVersion(const ModelInstance& instance) const;
  std::vector<InstanceId> Connected(const ModelInstance& instance) const;
  bool IsCut(const InstanceId& a, const InstanceId& b) const;
  bool IsPaused(const ModelInstance& instance) const;
  ModelInstance* Find(const InstanceId& id);
  TimePoint HalfFleetHeardAt(const ModelInstance& instance) const;
  void CheckInstance(ModelInstance& instance);
  void CheckJoin(const ModelInstance& instance);
  void RecordViolation(const ModelInstance& instance, const std::string& what);
  double Random();

  PropagationOptions options_;
  std::mt19937 random_;
  FakeClock clock_;
  uint64_t published_version_ = 1;
  int instances_started_ = 0;
  std::vector<std::unique_ptr<ModelInstance>> instances_;
  std::vector<std::pair<TimePoint, InstanceList>> published_lists_;
  std::vector<InFlightMessage> in_flight_;
  std::vector<PendingRead> pending_reads_;
  unsigned partition_ = 0;
  int network_fault_level_ = 0;
  std::string violation_;
};

}  // namespace mangodoor

#endif  // TESTS_MEMBERSHIP_FLEET_MODEL_H_
