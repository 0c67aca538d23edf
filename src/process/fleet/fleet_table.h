#ifndef PROCESS_FLEET_FLEET_TABLE_H_
#define PROCESS_FLEET_FLEET_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "process/fleet/call_rates.h"
#include "process/fleet/member_list.h"
#include "process/fleet/update_scope.h"
#include "process/membership/membership.h"
#include "process/ordered_mutex.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/** What a link to another instance has carried. */
struct FleetLink {
  /** The peer has been sent what its scope holds up to this change. */
  uint64_t sent_change = 0;
  UpdateScope scope = UpdateScope::kSelf;
  /** The latest change when the link was opened. */
  uint64_t opened_at_change = 0;
  std::optional<TimePoint> heartbeat_at;
};

/** The members and links of a fleet at one moment. */
struct FleetView {
  Member self;
  /** This instance and all others that are not gone. */
  std::vector<Member> live;
  /** Linked instances of the own data centre, with their ranks. */
  std::map<InstanceId, size_t> local_peers;
  /** Linked instances of other data centres. */
  std::vector<InstanceId> remote_peers;
  size_t rank = 0;
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

/** The fleet as this instance sees it, behind a lock. */
struct FleetTable {
  mutable OrderedMutex mutex{LockRank::kFleet};
  MemberList member_list;
  std::vector<Endpoint> seeds;
  /** Links that are open. */
  std::map<InstanceId, FleetLink> links;
  /** Counts the links that were opened and closed. */
  uint64_t link_changes = 0;
  /** Made from these numbers of changes of the book and of the links. */
  mutable FleetViewPtr view;
  mutable std::pair<uint64_t, uint64_t> view_made_of;
  CallRates calls;
  std::optional<TimePoint> last_tick;
};

/** Spacing of the beats within a data centre, and between two. */
constexpr Duration kLocalHeartbeatInterval = std::chrono::milliseconds(400);
constexpr Duration kRemoteHeartbeatInterval = std::chrono::milliseconds(1000);

/** How often TickFleet is to be called. */
constexpr Duration kFleetTick = std::chrono::milliseconds(100);

/** What is to be done after a call, once no lock is held. */
struct FleetActions {
  std::vector<OutgoingMessage> messages;
  /** Links whose beat is due; the caller fills in what the beat says. */
  std::vector<InstanceId> heartbeats;
  /** Links to keep from now on. */
  std::vector<Instance> links;
  /** Instances found silent. */
  std::vector<InstanceId> gone;
};

FleetActions TickFleet(FleetTable& table, TimePoint now);

void OpenLink(FleetTable& table, const InstanceId& peer, TimePoint now);
void CloseLink(FleetTable& table, const InstanceId& peer);

/** Notes a message of any kind that came over a link. */
void RecordMessageFrom(FleetTable& table,
                       const InstanceId& from,
                       TimePoint now);

/** Returns the instances whose state changed. */
std::vector<Member> HandleMemberUpdate(FleetTable& table,
                                       const InstanceId& from,
                                       const MemberUpdate& update,
                                       TimePoint now);

/** Takes over how many requests this instance has had since its start. */
void CountCalls(FleetTable& table, uint64_t total, TimePoint now);

/** Takes over what a beat states of the sender's calls. */
void RecordPeerCalls(FleetTable& table,
                     const InstanceId& from,
                     const FleetHeartbeat& heartbeat,
                     TimePoint now);

/** Fills in what this instance states of calls, for the beat's scope. */
void FillCallRates(const FleetTable& table,
                   FleetHeartbeat& heartbeat,
                   TimePoint now);

void BeginLeaving(FleetTable& table, TimePoint now);

/**
 * The fleet as it is now. The same view is returned until a member or a link
 * changes.
 */
FleetViewPtr ViewFleet(const FleetTable& table);

/** Requests a second that come to the whole fleet. */
double FleetCallsPerS(const FleetTable& table, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_FLEET_TABLE_H_
