#ifndef PROCESS_MEMBERSHIP_MEMBERSHIP_TABLE_H_
#define PROCESS_MEMBERSHIP_MEMBERSHIP_TABLE_H_

#include <atomic>
#include <optional>
#include <string>
#include <vector>

#include "process/clock.h"
#include "process/membership/fleet_reachability.h"
#include "process/membership/membership.h"
#include "process/ordered_mutex.h"
#include "process/peers/peer_message.h"
#include "process/status/status.h"
#include "version/version.h"

namespace mangodoor {

/** Interval between two heartbeats to a peer. */
constexpr Duration kMembershipHeartbeatInterval =
    std::chrono::milliseconds(250);

/**
 * The platform's list of instances, and what their heartbeats report. In a
 * fleet without such a list, FleetTable takes its place.
 */
struct MembershipTable {
  mutable OrderedMutex mutex{LockRank::kMembership};
  Instance self;
  InstanceState own_state = InstanceState::kJoining;
  /**
   * Set by a planned stop that cuts what still runs at its end: requests have
   * to end by then. Needs no lock.
   */
  std::atomic<TimePoint> requests_end{TimePoint::max()};
  /** True while this instance serves no keyed requests. */
  bool own_fenced = false;
  InstanceList list;
  /** The listed instances that this instance keeps connections to. */
  std::vector<Instance> selected;
  PeerViews peers;
  /** First and latest reading of the clock; unset before the first one. */
  std::optional<TimePoint> started;
  std::optional<TimePoint> last_clock_check;
  std::optional<TimePoint> next_heartbeat;
  std::optional<TimePoint> next_list_read;
  bool list_read_running = false;
};

InstanceState OwnState(const MembershipTable& table);

/**
 * Starts a planned stop: heartbeats report it, and callers get the addresses of
 * other instances if there are any. Requests have to end by `requests_end`.
 */
void BeginLeaving(MembershipTable& table,
                  TimePoint requests_end = TimePoint::max());

/** Goes from joining to serving; has no effect in other states. */
void EnterService(MembershipTable& table);

/** Sets whether this instance refuses keyed requests. */
void SetFenced(MembershipTable& table, bool fenced);

/**
 * Records a reading of the clock. After a pause of the process, no peer is
 * reachable until its next heartbeat.
 */
void CheckForPause(MembershipTable& table, TimePoint now);

/** Adopts `list` if its revision is higher than that of the list in use. */
bool AdoptList(MembershipTable& table, const InstanceList& list);

InstanceList ListInUse(const MembershipTable& table);

/** Records a heartbeat; false if it is a duplicate or out of order. */
bool RecordHeartbeat(MembershipTable& table,
                     const InstanceId& from,
                     const Heartbeat& heartbeat,
                     TimePoint now);

/**
 * Discards the timing state of `peer`. Must be called when a connection to it
 * was opened, since the peer can be a new process.
 */
void ForgetTiming(MembershipTable& table, const InstanceId& peer);

/** Removes unlisted peers that sent no heartbeat within kReachableFor. */
void DropUnlistedPeers(MembershipTable& table, TimePoint now);

/** Makes a heartbeat to `to` with state, list revision and timing filled in. */
Heartbeat StartHeartbeat(const MembershipTable& table,
                         const InstanceId& to,
                         TimePoint now);

/**
 * True once in each kMembershipHeartbeatInterval; records that heartbeats are
 * sent now.
 */
bool HeartbeatsDue(MembershipTable& table, TimePoint now);

/** True if the platform's list is to be read now; records that it is. */
bool ListReadDue(MembershipTable& table, TimePoint now, double random);

/** Records the end of a read of the platform's list. */
void FinishListRead(MembershipTable& table);

/** True if the list is to be sent to `peer` now; records that it is. */
bool ShouldSendList(MembershipTable& table,
                    const InstanceId& peer,
                    TimePoint now);

/** Instances to keep connections to. */
std::vector<Instance> PeersToConnect(const MembershipTable& table);

FleetReachability ReachabilityOf(const MembershipTable& table, TimePoint now);

/** A reachable peer and the version that it holds. */
struct ReachablePeer {
  InstanceId id;
  bool in_own_data_centre = false;
  InstanceState state = InstanceState::kJoining;
  uint64_t version = 0;
  std::string digest;
  std::optional<TimePoint> read_at;
};

/** Reachable peers, listed or not, ordered by id. */
std::vector<ReachablePeer> ReachablePeers(const MembershipTable& table,
                                          TimePoint now);

/**
 * Chooses the addresses for a caller that queries them, best first. `account`
 * is unset if the caller sent no valid key.
 */
std::vector<Endpoint> ChooseAddresses(
    const MembershipTable& table,
    const Version& version,
    const std::optional<ClientAccountId>& account,
    TimePoint now);

std::vector<PeerStatus> PeerStatuses(const MembershipTable& table,
                                     TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_MEMBERSHIP_TABLE_H_
