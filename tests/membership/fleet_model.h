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

/** What the configuration service does for one instance. */
enum class ServiceMode { kOk, kDown, kStale, kConflict };

/** A fault, or the passing of time. */
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
  /** A service mode, a set of slots, or a grade of loss and lateness. */
  int choice = 0;
  int milliseconds = 0;
};

/** One instance of the model. */
struct ModelInstance {
  Instance self;
  VersionTable versions;
  MembershipTable membership;
  TimePoint paused_until{};
  ServiceMode service = ServiceMode::kOk;
  uint64_t stale_version = 0;
  /** What it really learnt, apart from what its tables estimate. */
  std::map<InstanceId, TimePoint> heard_sent_at;
  std::map<InstanceId, TimePoint> heard_serving_at;
  TimePoint read_at{};
  TimePoint half_at{};
  /** Version and digest as the oracle saw them last. */
  uint64_t seen_version = 0;
  std::string seen_digest;
  TimePoint ticked_at{};
};

/**
 * Several instances as plain structs, with a service, a list of instances and
 * a network that can fail. Faults are recorded as text when an invariant does
 * not hold; an empty text means that all held.
 */
class FleetModel {
 public:
  FleetModel(unsigned seed, PropagationOptions options);

  void Apply(const Step& step);

  /** Ends all faults but an outage of the service for all but one instance. */
  void EndFaults();
  void Advance(Duration duration);

  /** Notes a fault if an instance lacks the newest version, or is fenced. */
  void CheckSettled();

  const std::string& violation() const { return violation_; }

 private:
  struct Flight {
    InstanceId from;
    InstanceId to;
    PeerMessage message;
    TimePoint sent_at;
    TimePoint due;
    TimePoint sender_read_at;
    bool sender_serving = false;
  };
  struct Reading {
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
  void Receive(ModelInstance& to, const Flight& flight);
  void StartRead(ModelInstance& instance, ReadKind kind, uint64_t known);
  void FinishReads();
  void Answer(ModelInstance& instance, FinishedRead read);
  VersionPtr ServedVersion(const ModelInstance& instance) const;
  std::vector<InstanceId> Connected(const ModelInstance& instance) const;
  bool IsCut(const InstanceId& a, const InstanceId& b) const;
  bool IsPaused(const ModelInstance& instance) const;
  ModelInstance* Find(const InstanceId& id);
  TimePoint HalfHeard(const ModelInstance& instance) const;
  void CheckInstance(ModelInstance& instance);
  void CheckJoin(const ModelInstance& instance);
  void Violate(const ModelInstance& instance, const std::string& what);
  double Random();

  PropagationOptions options_;
  std::mt19937 random_;
  FakeClock clock_;
  uint64_t published_ = 1;
  int started_ = 0;
  std::vector<std::unique_ptr<ModelInstance>> instances_;
  std::vector<std::pair<TimePoint, InstanceList>> lists_;
  std::vector<Flight> flights_;
  std::vector<Reading> readings_;
  unsigned partition_ = 0;
  int network_grade_ = 0;
  std::string violation_;
};

}  // namespace mangodoor

#endif  // TESTS_MEMBERSHIP_FLEET_MODEL_H_
