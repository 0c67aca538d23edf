#ifndef PROCESS_MEMBERSHIP_MEMBERSHIP_TABLE_H_
#define PROCESS_MEMBERSHIP_MEMBERSHIP_TABLE_H_

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

constexpr Duration kMembershipHeartbeatInterval =
    std::chrono::milliseconds(250);

/** The list of instances, and what heartbeats say of them. */
struct MembershipTable {
  mutable OrderedMutex mutex{LockRank::kMembership};
  Instance self;
  InstanceState own_state = InstanceState::kJoining;
  /** True while this instance answers no keyed requests. */
  bool own_fenced = false;
  InstanceList list;
  /** Those of the list that this instance keeps connections to. */
  std::vector<Instance> selected;
  PeerViews peers;
  /** First and latest look at the clock; unset before the first one. */
  std::optional<TimePoint> started;
  std::optional<TimePoint> last_clock_check;
  std::optional<TimePoint> next_heartbeat;
  std::optional<TimePoint> next_list_read;
  bool list_read_running = false;
};

InstanceState OwnState(const MembershipTable& table);

/** Starts a planned stop: peers and callers are told to go elsewhere. */
void BeginLeaving(MembershipTable& table);

/** Ends joining; no effect on an instance that is leaving. */
void EnterService(MembershipTable& table);

/** Notes whether this instance answers keyed requests. */
void SetFenced(MembershipTable& table, bool fenced);

/**
 * Notes a look at the clock. After a pause, no peer counts as heard until it
 * is heard again.
 */
void CheckForPause(MembershipTable& table, TimePoint now);

/** Takes over `list` if its revision is higher than the one in use. */
bool AdoptList(MembershipTable& table, const InstanceList& list);

InstanceList ListInUse(const MembershipTable& table);

/** Takes over a heartbeat; false if it is repeated or overtaken. */
bool RecordHeartbeat(MembershipTable& table,
                     const InstanceId& from,
                     const Heartbeat& heartbeat,
                     TimePoint now);

/** A connection to `peer` was opened: its process may be another one. */
void ForgetTiming(MembershipTable& table, const InstanceId& peer);

/** Drops what was heard of peers that are neither listed nor reachable. */
void DropUnlistedPeers(MembershipTable& table, TimePoint now);

/** Fills in state, list revision and, for `to`, the times of a heartbeat. */
Heartbeat StartHeartbeat(const MembershipTable& table,
                         const InstanceId& to,
                         TimePoint now);

/** True every kMembershipHeartbeatInterval; notes that heartbeats are sent now.
 */
bool HeartbeatsDue(MembershipTable& table, TimePoint now);

/** True if the platform's list is to be read now; notes that it is. */
bool ListReadDue(MembershipTable& table, TimePoint now, double random);

/** Notes the end of a read of the platform's list. */
void FinishListRead(MembershipTable& table);

/** True if `peer` should be sent the list; notes that it is. */
bool ShouldSendList(MembershipTable& table,
                    const InstanceId& peer,
                    TimePoint now);

/** Instances to keep connections to. */
std::vector<Instance> PeersToConnect(const MembershipTable& table);

FleetReachability ReachabilityOf(const MembershipTable& table, TimePoint now);

/** A reachable peer and what it holds. */
struct ReachablePeer {
  InstanceId id;
  bool in_own_data_centre = false;
  InstanceState state = InstanceState::kJoining;
  uint64_t version = 0;
  std::string digest;
  std::optional<TimePoint> read_at;
};

/** Reachable peers, listed or not, in the order of their ids. */
std::vector<ReachablePeer> ReachablePeers(const MembershipTable& table,
                                          TimePoint now);

/**
 * Caller addresses for a caller that asks which to use, best first. `account`
 * is unset if the caller gave no valid key.
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
