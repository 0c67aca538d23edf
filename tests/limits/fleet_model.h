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
 * Every instance has a version at most this old, or is fenced and its leases
 * have ended before the overlap of shares is over.
 */
constexpr Duration kMaxVersionDelay =
    kShareOverlap - kLeaseMaxDuration - kLeaseMargin;

/** How a waiting request was decided, and how often. */
struct WaitingRecord {
  size_t node = 0;
  uint64_t process = 0;
  uint64_t ticket = 0;
  ClientAccountId account;
  TimePoint until{};
  int decisions = 0;
  bool cancelled = false;
};

/** One process at one entry address. */
struct ModelNode {
  InstanceId id;
  Endpoint address;
  /** Clocks run at the same rate, but do not show the same time. */
  Duration clock_offset{};
  AccountLimiter limiter;
  /** Distinguishes the processes that follow each other. */
  uint64_t process = 0;
  bool running = false;
  TimePoint start_at{};
  TimePoint resume_at{};
  TimePoint next_tick{};
  TimePoint next_heartbeat{};
  size_t version = 0;
  /** Requests offered in each millisecond, in thousandths. */
  int load = 0;
  int load_left_over = 0;
  /** Other nodes that are not in its list. */
  std::vector<bool> hidden;
};

struct ModelMessage {
  size_t from = 0;
  size_t to = 0;
  PeerMessage message;
  /** For heartbeats: version and time for which its addresses held. */
  uint64_t version = 0;
  Duration unchanged_for{};
};

/** A version, when it was published, and when each node gets it. */
struct PublishedVersion {
  VersionPtr version;
  TimePoint at{};
  std::vector<TimePoint> arrives;
};

/** What messages suffer. */
struct Network {
  Duration longest_delay = std::chrono::milliseconds(2);
  int lost_percent = 0;
  int repeated_percent = 0;
};

/** Rates of the one client account, and who has a share. */
struct Rules {
  int64_t rate_per_s = 60;
  int64_t burst = 8;
  std::vector<bool> listed;
};

/** A fleet of plain account books, a network, and the oracle. */
class FleetModel {
 public:
  FleetModel(const Rules& rules,
             uint64_t seed,
             const InjectedLimitFaults& faults);

  void Run(Duration duration);
  void SetLoad(size_t node, int load) { nodes_[node].load = load; }
  void SetNetwork(const Network& network) { network_ = network; }
  void Pause(size_t node, Duration duration);
  void Kill(size_t node, Duration downtime);
  void ToggleHidden(size_t node, size_t other);
  void CancelOneWaiting();
  void SendNonsense(size_t from, size_t to);

  /** Publishes rules; changes of the listed addresses are kept apart. */
  void Publish(Rules rules, Duration longest_delay);
  const Rules& rules() const { return rules_; }

  /** Ends the load and lets what waits be decided. */
  void Finish();

  /** The first broken property, if any. */
  const std::optional<std::string>& violation() const { return violation_; }
  uint64_t admitted() const { return admitted_; }
  size_t node_count() const { return nodes_.size(); }

 private:
  void Step();
  void StartProcess(size_t node);
  void AdoptDueVersions(size_t node);
  void Deliver();
  void Offer(size_t node);
  void OfferOne(size_t node);
  void SendHeartbeats(size_t node);
  void Send(size_t from, const AccountActions& actions);
  void Post(ModelMessage message);
  void Handle(size_t node, const ModelMessage& message);
  void RunActions(size_t node, const AccountActions& actions);
  void Decided(size_t record, std::optional<ErrorKind> error);
  void NoteAdmission();
  void UpdateAllowed();
  void Fail(const std::string& what);
  bool IsAwake(const ModelNode& node) const;
  TimePoint LocalNow(const ModelNode& node) const {
    return now_ + node.clock_offset;
  }
  int64_t Random(int64_t limit);

  TimePoint now_{std::chrono::hours(1)};
  std::mt19937_64 random_;
  InjectedLimitFaults faults_;
  Network network_;
  Rules rules_;
  TimePoint addresses_changed_at_{};
  std::vector<ModelNode> nodes_;
  std::vector<PublishedVersion> versions_;
  std::multimap<TimePoint, ModelMessage> mail_;
  std::vector<WaitingRecord> waiting_;
  WindowOracle oracle_;
  AllowedRate allowed_;
  uint64_t processes_ = 0;
  uint64_t admitted_ = 0;
  std::optional<std::string> violation_;
};

}  // namespace mangodoor

#endif  // TESTS_LIMITS_FLEET_MODEL_H_
