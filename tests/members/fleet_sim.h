#ifndef TESTS_MEMBERS_FLEET_SIM_H_
#define TESTS_MEMBERS_FLEET_SIM_H_

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "process/fleet/fleet_table.h"

namespace mangodoor {

/** A message on its way between two instances. */
struct SimMessage {
  InstanceId from;
  InstanceId to;
  PeerMessage message;
};

/** One instance of a simulated fleet. */
struct SimInstance {
  Member member;
  /** Null while the process does not run. */
  std::unique_ptr<FleetTable> table;
  /** Instances that it keeps a link to. */
  std::set<InstanceId> wanted_links;
  /** Number of member states that it has sent to other instances. */
  size_t states_sent = 0;
};

/**
 * Simulates a fleet in which each instance has a FleetTable. Links open and
 * close as the tables request and as running processes and the network allow.
 * Time advances in ticks.
 */
class FleetSim {
 public:
  FleetSim(int data_centres, int instances_each, int seeds);

  InstanceId IdOf(int index) const;
  int size() const { return static_cast<int>(ids_.size()); }
  void Start(int index);
  void Kill(int index);
  /** Begins the planned stop of an instance. */
  void Leave(int index);
  bool IsRunning(int index) const;
  /** Cuts all network paths of an instance, or restores them. */
  void SetIsolated(int index, bool isolated);
  void RunFor(Duration duration);

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
  bool Reachable(const InstanceId& a, const InstanceId& b) const;
  void UpdateLinks();
  void Deliver();
  void CountSent(SimInstance& from, const OutgoingMessage& message);

  std::vector<InstanceId> ids_;
  std::map<InstanceId, SimInstance> instances_;
  std::vector<Endpoint> seeds_;
  std::set<InstanceId> isolated_;
  std::set<std::pair<InstanceId, InstanceId>> links_;
  std::deque<SimMessage> messages_;
  TimePoint now_{std::chrono::hours(1)};
  uint64_t next_incarnation_ = 1;
  int false_removals_ = 0;
  size_t remote_states_sent_ = 0;
};

}  // namespace mangodoor

#endif  // TESTS_MEMBERS_FLEET_SIM_H_
