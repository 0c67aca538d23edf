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

/** One machine of a simulated fleet. */
struct SimInstance {
  Member member;
  /** Null while the process does not run. */
  std::unique_ptr<FleetTable> table;
  /** Machines that it wants a link to. */
  std::set<InstanceId> wanted;
  /** States of members that it has told others. */
  size_t sent = 0;
};

/**
 * Many fleet tables, joined by links that open and close as the tables ask
 * and as processes and paths allow. Time goes on in ticks.
 */
class FleetSim {
 public:
  FleetSim(int data_centres, int instances_each, int seeds);

  InstanceId IdOf(int index) const;
  int size() const { return static_cast<int>(ids_.size()); }
  void Start(int index);
  void Kill(int index);
  /** Begins the planned stop of a machine's process. */
  void Leave(int index);
  bool runs(int index) const;
  /** Cuts all paths of a machine, or heals them. */
  void SetCut(int index, bool cut);
  void RunFor(Duration duration);

  /** Names of the live members that a machine's table lists. */
  std::set<std::string> LiveAt(int index) const;
  /** Names of the machines that run. */
  std::set<std::string> Running() const;
  /** Links that are open at a machine. */
  size_t LinksAt(int index) const;
  TimePoint now() const { return now_; }
  /** States of members that a machine has told others. */
  size_t SentBy(int index) const;
  /** Those that went from one data centre to another, of all machines. */
  size_t sent_remote() const { return sent_remote_; }
  /** How often an instance that could be reached was declared gone. */
  int false_ends() const { return false_ends_; }

 private:
  bool Reachable(const InstanceId& a, const InstanceId& b) const;
  void UpdateLinks();
  void Deliver();
  void CountSent(SimInstance& from, const OutgoingMessage& message);

  std::vector<InstanceId> ids_;
  std::map<InstanceId, SimInstance> instances_;
  std::vector<Endpoint> seeds_;
  std::set<InstanceId> cut_;
  std::set<std::pair<InstanceId, InstanceId>> links_;
  std::deque<SimMessage> messages_;
  TimePoint now_{std::chrono::hours(1)};
  uint64_t next_incarnation_ = 1;
  int false_ends_ = 0;
  size_t sent_remote_ = 0;
};

}  // namespace mangodoor

#endif  // TESTS_MEMBERS_FLEET_SIM_H_
