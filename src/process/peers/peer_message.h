#ifndef PROCESS_PEERS_PEER_MESSAGE_H_
#define PROCESS_PEERS_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "process/clock.h"
#include "process/fleet/member.h"
#include "process/membership/membership.h"
#include "process/registry/platform_store.h"
#include "process/servers/server_state.h"
#include "version/ids.h"

namespace mangodoor {

/** A millionth of a token, the unit of all arithmetic on rates and bursts. */
using MicroTokens = int64_t;
constexpr MicroTokens kMicroTokensPerToken = 1000000;

/** First message on a connection between instances, from both sides. */
struct Hello {
  InstanceId instance;
  DataCentreId data_centre;
  std::string nonce;
};

/** HMAC-SHA256 over both nonces with the fleet secret. */
struct Proof {
  std::string mac;
};

/** Unused tokens of a client account that the sender could lend. */
struct SpareShare {
  ClientAccountId client_account;
  MicroTokens tokens = 0;
};

/**
 * Lets the receiver of a heartbeat say, by its own clock alone, when it was
 * sent at the earliest.
 */
struct HeartbeatTiming {
  /** The sender's clock at sending; others only return it. */
  TimePoint sent{};
  /** `sent` of the latest heartbeat that came from the receiver. */
  std::optional<TimePoint> echoed;
  /** How long before this one the echoed heartbeat came. */
  Duration held{};
};

struct Heartbeat {
  InstanceState state = InstanceState::kJoining;
  /** True while the sender answers no keyed requests. */
  bool fenced = false;
  HeartbeatTiming timing;
  uint64_t version = 0;
  std::string digest;
  /** Age of the last confirmed read of the configuration service. */
  Duration read_age = Duration::max();
  uint64_t list_revision = 0;
  /** How long the sender has used the entry addresses of `version`. */
  Duration addresses_unchanged{};
  std::vector<SpareShare> spare;
};

struct ServerReports {
  std::vector<ServerReport> reports;
};

struct DocumentRequest {
  uint64_t version = 0;
};

struct DocumentText {
  uint64_t version = 0;
  std::string digest;
  std::string text;
};

/** Part of a share that one instance may use for another one. */
struct CapacityLease {
  uint64_t id = 0;
  ClientAccountId client_account;
  MicroTokens tokens = 0;
  MicroTokens rate_per_s = 0;
  MicroTokens burst = 0;
  Duration duration{};
};

struct LeaseRequest {
  CapacityLease wanted;
};

struct LeaseGrant {
  CapacityLease granted;
};

struct LeaseRelease {
  uint64_t lease_id = 0;
};

struct InstanceListMessage {
  InstanceList list;
};

/** Changes to the fleet that the sender knows of. */
struct MemberUpdate {
  std::vector<Member> members;
};

/** Requests of a client account, per second. */
struct AccountUsage {
  ClientAccountId client_account;
  double demand_per_s = 0;
  /** The part of it that comes to the sender itself. */
  double own_per_s = 0;
};

/** What the demands in a beat are the sum of. */
enum class UsageScope { kInstance, kDataCentre, kFleet };

/** Sent over every link at a fixed spacing: a sign of life, and the state. */
struct FleetHeartbeat {
  /** Revision of the platform's store up to which the sender's copy goes. */
  uint64_t feed_revision = 0;
  /** The sender reads the store itself. */
  bool reading = false;
  /** Time since that copy was known to be current. */
  std::optional<Duration> feed_age;
  UsageScope scope = UsageScope::kInstance;
  /** Instances whose demands are summed up; 0 if there are no demands. */
  int covered = 0;
  /** Requests of all accounts, summed up over the scope. */
  double calls_per_s = 0;
  /** Those that come to the sender itself. */
  double own_calls_per_s = 0;
  std::vector<AccountUsage> usage;
};

/** Asks a lead for tokens of a client account. */
struct TokenRequest {
  uint64_t id = 0;
  ClientAccountId client_account;
  int tokens = 1;
};

/** The lead's answer. */
struct TokenReply {
  uint64_t id = 0;
  int granted = 0;
};

/** Asks for the changes of the platform's store after a revision. */
struct FeedRequest {
  uint64_t after = 0;
};

/** Changes of the platform's store. */
struct FeedUpdate {
  uint64_t after = 0;
  uint64_t up_to = 0;
  /** `items` is all that the store held at `up_to`. */
  bool whole = false;
  std::vector<StoreItem> items;
};

using PeerMessage = std::variant<Hello,
                                 Proof,
                                 Heartbeat,
                                 ServerReports,
                                 DocumentRequest,
                                 DocumentText,
                                 LeaseRequest,
                                 LeaseGrant,
                                 LeaseRelease,
                                 InstanceListMessage,
                                 MemberUpdate,
                                 FleetHeartbeat,
                                 TokenRequest,
                                 TokenReply,
                                 FeedRequest,
                                 FeedUpdate>;

/** A message and the instance that it goes to. */
struct OutgoingMessage {
  InstanceId to;
  PeerMessage message;
};

}  // namespace mangodoor

#endif  // PROCESS_PEERS_PEER_MESSAGE_H_
