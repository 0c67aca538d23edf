#ifndef TESTS_MEMBERS_FLEET_SIM_H_
#define TESTS_MEMBERS_FLEET_SIM_H_

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "process/accounts/usage_limiter.h"
#include "process/fleet/fleet_table.h"

namespace mangodoor {

/** A message on its way between two instances. */
struct SimMessage {
  InstanceId from;
  InstanceId to;
  PeerMessage message;
  TimePoint deliver_at{};
};

/** The instances of one simulated data centre. */
struct SimDataCentre {
  /** Processor time of each instance, in thousandths of a core. */
  std::vector<int> millicores;
};

/** One instance of a simulated fleet. */
struct SimInstance {
  Member member;
  /** Null while the process does not run. */
  std::unique_ptr<FleetTable> table;
  /** Fills in how many instances the rates of a heartbeat cover. */
  UsageLimiter usage;
  TimePoint next_tick{};
  /** Time of the latest tick. */
  TimePoint ticked_at{};
  /** Rate at which callers send requests to it. */
  double requests_per_s = 0;
  /** Requests received since the start of the process. */
  double requests = 0;
  /** Instances that it keeps a link to. */
  std::set<InstanceId> wanted_links;
  /** Number of member states that it has sent to other instances. */
  size_t states_sent = 0;
};

/** Durations in a simulated fleet. */
struct SimTiming {
  /** If this is shorter than a tick, instances tick at different times. */
  Duration step = kFleetTick;
  /** Time from the request for a link until it is open. */
  Duration connect_time{};
  /** Messages take up to this time; links keep their order. */
  Duration max_message_delay{};
};

/**
 * Simulates a fleet in which each instance has a FleetTable. Links open and
 * close as the tables request and as running processes and the network allow.
 * Time advances in steps. A step is as long as a tick, in which all instances
 * tick together, unless SetTiming() sets another.
 */
class FleetSim {
 public:
  FleetSim(int data_centres, int instances_each, int seeds);
  /** Indices of the instances go up in the order of the data centres. */
  FleetSim(const std::vector<SimDataCentre>& data_centres, int seeds);

  InstanceId IdOf(int index) const;
  int size() const { return static_cast<int>(ids_.size()); }
  void Start(int index);
  void Kill(int index);
  /** Begins the planned stop of an instance. */
  void Leave(int index);
  bool IsRunning(int index) const;
  /** Cuts all network paths of an instance, or restores them. */
  void SetIsolated(int index, bool isolated);
  /**
   * Moves an instance to a group; instances of different groups cannot reach
   * each other. All are in group 0 at first.
   */
  void SetGroup(int index, int group);
  /** Cuts the network path between two instances, or restores it. */
  void SetCut(int a, int b, bool cut);
  /**
   * Stops the process of an instance, which keeps its links, or continues it;
   * it receives the messages of the meantime when it continues.
   */
  void SetPaused(int index, bool paused);
  bool IsPaused(int index) const;
  /** Sets the timing from now on; call it before the first start. */
  void SetTiming(const SimTiming& timing, uint64_t seed);
  void SetRequestRate(int index, double requests_per_s);
  void RunFor(Duration duration);

  /** True if the instance ticked in the latest step. */
  bool HasJustTicked(int index) const;
  const Member& MemberAt(int index) const;
  /** The table of a running instance. */
  FleetTable& TableAt(int index) const;
  /** Ids of the live members in an instance's table. */
  std::set<std::string> LiveAt(int index) const;
  /** Ids of the running instances. */
  std::set<std::string> Running() const;
  /** Number of open links of an instance. */
  size_t LinksAt(int index) const;
  TimePoint now() const { return now_; }
  /** Number of member states that an instance has sent. */
  size_t StatesSentBy(int index) const;
  /** Number of member states sent between data centres, by all instances. */
  size_t remote_states_sent() const { return remote_states_sent_; }
  /** How often a reachable instance was declared gone. */
  int false_removals() const { return false_removals_; }

 private:
  int GroupOf(const InstanceId& id) const;
  bool Reachable(const InstanceId& a, const InstanceId& b) const;
  void UpdateLinks();
  void CloseLinks();
  void OpenLinks();
  Duration RandomUpTo(Duration max);
  TimePoint NextTick();
  void TickIfDue(const InstanceId& id, SimInstance& instance);
  void Tick(const InstanceId& id, SimInstance& instance);
  void Send(const InstanceId& from, const InstanceId& to, PeerMessage message);
  void SendHeartbeats(const InstanceId& id,
                      SimInstance& instance,
                      const std::vector<InstanceId>& due);
  void SendHeartbeat(const InstanceId& id,
                     SimInstance& instance,
                     const std::vector<InstanceId>& to,
                     UsageScope scope,
                     bool includes_rates);
  void Deliver();
  void Handle(const SimMessage& sim_message);
  void HandleHeartbeat(SimInstance& instance,
                       const InstanceId& from,
                       const FleetHeartbeat& heartbeat);
  void CountSent(SimInstance& from, const OutgoingMessage& message);

  std::vector<InstanceId> ids_;
  std::map<InstanceId, SimInstance> instances_;
  std::vector<Endpoint> seeds_;
  std::set<InstanceId> isolated_;
  std::set<InstanceId> paused_;
  /** Groups of the instances that are not in group 0. */
  std::map<InstanceId, int> groups_;
  std::set<std::pair<InstanceId, InstanceId>> cuts_;
  std::set<std::pair<InstanceId, InstanceId>> links_;
  /** Links that are not open yet, and when they were requested. */
  std::map<std::pair<InstanceId, InstanceId>, TimePoint> connecting_;
  std::deque<SimMessage> messages_;
  SimTiming timing_;
  std::mt19937_64 random_;
  /** When the latest message over a link will arrive, by sender and receiver.
   */
  std::map<std::pair<InstanceId, InstanceId>, TimePoint> last_delivery_;
  TimePoint now_{std::chrono::hours(1)};
  uint64_t next_incarnation_ = 1;
  int false_removals_ = 0;
  size_t remote_states_sent_ = 0;
};

}  // namespace mangodoor

#endif  // TESTS_MEMBERS_FLEET_SIM_H_
