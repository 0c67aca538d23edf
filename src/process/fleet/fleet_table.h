#ifndef PROCESS_FLEET_FLEET_TABLE_H_
#define PROCESS_FLEET_FLEET_TABLE_H_

#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

#include "process/fleet/fleet_size.h"
#include "process/fleet/member_list.h"
#include "process/fleet/request_rates.h"
#include "process/fleet/update_scope.h"
#include "process/membership/membership.h"
#include "process/ordered_mutex.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/** State of an open link to another instance. */
struct FleetLink {
  /** The peer has been sent all changes in `scope` up to this one. */
  uint64_t sent_change = 0;
  UpdateScope scope = UpdateScope::kSelf;
  /** Number of the latest change when the link was opened. */
  uint64_t opened_at_change = 0;
  /** When the latest heartbeat was due on this link. */
  std::optional<TimePoint> heartbeat_at;
};

/** The members and links of a fleet at one moment. */
struct FleetView {
  Member self;
  /** All instances that are not gone, this one included. */
  std::vector<Member> live;
  /** Linked instances of this data centre with their ranks. */
  std::map<InstanceId, size_t> local_peers;
  /** Linked instances of other data centres. */
  std::vector<InstanceId> remote_peers;
  /** Rank of this instance in its data centre; 0 is the leader. */
  size_t rank = 0;
  /** Hubs of lower ranks than this have to send to the other instances. */
  size_t pushing_hubs = kHubsPerDataCentre;
};

/** A grant and how long it may be used. */
struct HeldGrant {
  CapacityGrant grant;
  /** The instance that made it. */
  InstanceId leader;
  TimePoint until{};
};

using FleetViewPtr = std::shared_ptr<const FleetView>;

/**
 * The fleet as this instance knows it, for fleets without an instance list.
 * Protected by a mutex.
 */
struct FleetTable {
  mutable OrderedMutex mutex{LockRank::kFleet};
  MemberList member_list;
  std::vector<Endpoint> seeds;
  /** Open links. */
  std::map<InstanceId, FleetLink> links;
  /** The hubs of all data centres when updates were last sent. */
  Hubs hubs;
  /** Counts openings and closings of links. */
  uint64_t link_changes = 0;
  /** The latest view; rebuilt when `view_changes` is out of date. */
  mutable FleetViewPtr view;
  /** `member_list.last_change` and `link_changes` when `view` was made. */
  mutable std::pair<uint64_t, uint64_t> view_changes;
  FleetSize size;
  RequestRates request_rates;
  /** The latest grant, made by this instance or received; see capacity_grant.h.
   */
  std::optional<HeldGrant> held_grant;
  /** True once this instance has known another one. */
  bool has_joined = false;
  /** True once a peer of this data centre has said that it is settled. */
  bool knows_settled_peer = false;
  std::optional<TimePoint> first_tick;
  std::optional<TimePoint> last_tick;
};

/** Interval of heartbeats within a data centre, and between data centres. */
constexpr Duration kLocalHeartbeatInterval = std::chrono::milliseconds(400);
constexpr Duration kRemoteHeartbeatInterval = std::chrono::milliseconds(1000);

/** Interval at which TickFleet is called. */
constexpr Duration kFleetTick = std::chrono::milliseconds(100);

/** Actions for the caller to carry out once no lock is held. */
struct FleetActions {
  std::vector<OutgoingMessage> messages;
  /** Peers whose heartbeat is due; the caller fills in and sends it. */
  std::vector<InstanceId> heartbeats;
  /** Instances to keep a link to. */
  std::vector<Instance> links;
  /** Instances that were declared gone because they were silent. */
  std::vector<InstanceId> gone;
};

FleetActions TickFleet(FleetTable& table, TimePoint now);

void OpenLink(FleetTable& table, const InstanceId& peer, TimePoint now);
void CloseLink(FleetTable& table, const InstanceId& peer);

/** Records that a message of any kind was received over a link. */
void RecordMessageFrom(FleetTable& table,
                       const InstanceId& from,
                       TimePoint now);

/** Applies a peer's update. Returns the other members that it changed. */
std::vector<Member> HandleMemberUpdate(FleetTable& table,
                                       const InstanceId& from,
                                       const MemberUpdate& update,
                                       TimePoint now);

/** Updates this instance's rate; `total` counts requests since the start. */
void CountRequests(FleetTable& table, uint64_t total, TimePoint now);

/** Records the request rates that the heartbeat of `from` reports. */
void RecordPeerRequestRates(FleetTable& table,
                            const InstanceId& from,
                            const FleetHeartbeat& heartbeat,
                            TimePoint now);

/** Fills in the request rates for the heartbeat's scope. */
void FillRequestRates(const FleetTable& table,
                      FleetHeartbeat& heartbeat,
                      TimePoint now);

/** Begins this instance's planned stop. */
void BeginLeaving(FleetTable& table, TimePoint now);

/**
 * Returns a view of the fleet as it is now. Calls return the same object until
 * a member or a link changes.
 */
FleetViewPtr ViewFleet(const FleetTable& table);

/**
 * Number of instances among which the limits of the fleet are divided: at least
 * kAssumedInstances as long as this instance has not found any other.
 */
int InstancesSharingLimits(const FleetTable& table);

/** Requests a second in the whole fleet, as far as this instance knows. */
double FleetRequestsPerS(const FleetTable& table, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_FLEET_TABLE_H_
