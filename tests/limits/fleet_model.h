#ifndef TESTS_LIMITS_FLEET_MODEL_H_
#define TESTS_LIMITS_FLEET_MODEL_H_

#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "limits/oracle.h"
#include "process/accounts/account_limiter.h"
#include "version/version.h"

namespace mangodoor {

/**
 * Longest time from the publication of a version to its arrival at an instance.
 * With this limit, every instance has the version, or is fenced and its leases
 * have ended, before kShareOverlap has passed.
 */
constexpr Duration kMaxVersionDelay =
    kShareOverlap - kLeaseMaxDuration - kLeaseMargin;

/** A request that was offered to an instance, and how it was decided. */
struct OfferedRequest {
  size_t instance = 0;
  uint64_t process = 0;
  uint64_t ticket = 0;
  ClientAccountId account;
  /** The request must not be admitted at or after this time. */
  TimePoint until{};
  /** Number of decisions; the model fails on more than one. */
  int decisions = 0;
  bool cancelled = false;
};

/** An entry address and the process that runs there. */
struct ModelInstance {
  InstanceId id;
  Endpoint address;
  /** Offset of the process's clock from the model's; both run equally fast. */
  Duration clock_offset{};
  AccountLimiter limiter;
  /** Number of the process; each replacement gets a new one. */
  uint64_t process = 0;
  bool running = false;
  TimePoint start_at{};
  TimePoint resume_at{};
  TimePoint next_tick{};
  TimePoint next_heartbeat{};
  /** Index of the version in use. */
  size_t version = 0;
  /** Requests offered a second. */
  int load = 0;
  /** Thousandths of a request that a step carries over to the next one. */
  int load_left_over = 0;
  /** Which other instances are missing from this instance's instance list. */
  std::vector<bool> hidden;
};

struct ModelMessage {
  size_t from = 0;
  size_t to = 0;
  PeerMessage message;
  /**
   * Set only for heartbeats: the sender's version, and for how long the sender
   * has used the same entry addresses.
   */
  uint64_t version = 0;
  Duration unchanged_for{};
};

/** A version, when it was published, and when it arrives at each instance. */
struct PublishedVersion {
  VersionPtr version;
  TimePoint at{};
  std::vector<TimePoint> arrives_at;
};

/** Delay, loss and repetition of messages. */
struct Network {
  Duration longest_delay = std::chrono::milliseconds(2);
  int lost_percent = 0;
  int repeated_percent = 0;
};

/** Rate and burst of the one client account, and which instances are listed. */
struct ModelConfig {
  int64_t rate_per_s = 60;
  int64_t burst = 8;
  /** Whether each instance's address is an entry address. */
  std::vector<bool> listed;
};

/** A simulated fleet of AccountLimiters, its network, and the oracle. */
class FleetModel {
 public:
  FleetModel(const ModelConfig& config,
             uint64_t seed,
             const InjectedLimitFaults& faults);

  void Run(Duration duration);
  void SetLoad(size_t instance, int load) { instances_[instance].load = load; }
  void SetNetwork(const Network& network) { network_ = network; }
  void Pause(size_t instance, Duration duration);
  void Kill(size_t instance, Duration downtime);
  void ToggleHidden(size_t instance, size_t other);
  void CancelOneWaiting();
  void SendInvalidMessages(size_t from, size_t to);

  /**
   * Publishes a version. A change of the entry addresses is ignored if less
   * than twice kShareOverlap has passed since the last one.
   */
  void Publish(ModelConfig config, Duration longest_delay);
  const ModelConfig& config() const { return config_; }

  /** Ends the load; waiting requests that stay undecided are a violation. */
  void Finish();

  /** The first violated property, if any. */
  const std::optional<std::string>& violation() const { return violation_; }
  uint64_t admitted() const { return admitted_; }
  size_t instance_count() const { return instances_.size(); }

 private:
  void Step();
  void StartProcess(size_t instance);
  void AdoptDueVersions(size_t instance);
  void Deliver();
  void OfferRequests(size_t instance);
  void OfferRequest(size_t instance);
  void SendHeartbeats(size_t instance);
  void Send(size_t from, const AccountActions& actions);
  void SendMessage(ModelMessage message);
  void ReceiveMessage(size_t instance, const ModelMessage& message);
  void RunActions(size_t instance, const AccountActions& actions);
  void OnDecision(size_t index, std::optional<ErrorKind> error);
  void RecordAdmission();
  void UpdateAllowed();
  void Fail(const std::string& what);
  bool IsAwake(const ModelInstance& instance) const;
  TimePoint LocalNow(const ModelInstance& instance) const {
    return now_ + instance.clock_offset;
  }
  int64_t Random(int64_t limit);

  TimePoint now_{std::chrono::hours(1)};
  std::mt19937_64 random_;
  InjectedLimitFaults faults_;
  Network network_;
  ModelConfig config_;
  TimePoint addresses_changed_at_{};
  std::vector<ModelInstance> instances_;
  std::vector<PublishedVersion> versions_;
  std::multimap<TimePoint, ModelMessage> in_flight_;
  std::vector<OfferedRequest> offered_;
  WindowOracle oracle_;
  AllowedRate allowed_;
  uint64_t process_count_ = 0;
  uint64_t admitted_ = 0;
  std::optional<std::string> violation_;
};

}  // namespace mangodoor

#endif  // TESTS_LIMITS_FLEET_MODEL_H_
