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
#include "process/registry/carried_items.h"
#include "process/registry/store_replica.h"
#include "process/servers/server_state.h"
#include "version/ids.h"

namespace mangodoor {

/** Millionths of a token, the unit of capacity leases and AccountLimiter. */
using MicroTokens = int64_t;
constexpr MicroTokens kMicroTokensPerToken = 1000000;

/** First message of the handshake; both sides of a connection send one. */
struct Hello {
  InstanceId instance;
  DataCentreId data_centre;
  std::string nonce;
  /** True if the sender can receive messages in parts. */
  bool accepts_parts = false;
};

/**
 * An HMAC-SHA256 with the fleet secret over the sender's role and both hellos,
 * which contain the nonces.
 */
struct Proof {
  std::string mac;
};

/**
 * Part of an encoded message that is too long to be sent at once. The parts of
 * a message follow each other, with whole messages in between.
 */
struct MessagePart {
  std::string bytes;
  bool last = false;
};

/** Unused tokens of a client account that the sender can lend. */
struct AccountSpareTokens {
  ClientAccountId client_account;
  MicroTokens tokens = 0;
};

/**
 * Timestamps with which the receiver of a heartbeat computes, by its own clock
 * alone, the earliest time at which the heartbeat could have been sent.
 */
struct HeartbeatTiming {
  /** The sender's clock at sending. The receiver echoes it. */
  TimePoint sent{};
  /** `sent` of the latest heartbeat that the sender has from the receiver. */
  std::optional<TimePoint> echoed;
  /** Time from the arrival of the echoed heartbeat until this one was sent. */
  Duration held{};
};

/** Heartbeat of a fleet with an instance list. */
struct Heartbeat {
  InstanceState state = InstanceState::kJoining;
  /** True while the sender refuses keyed requests. */
  bool fenced = false;
  HeartbeatTiming timing;
  /** Version of the document in force at the sender; 0 if there is none. */
  uint64_t version = 0;
  std::string digest;
  /**
   * Time since the configuration service last confirmed the version;
   * Duration::max() if it is unknown.
   */
  Duration read_age = Duration::max();
  uint64_t list_revision = 0;
  /** Time for which the sender has used the entry addresses of `version`. */
  Duration addresses_unchanged{};
  std::vector<AccountSpareTokens> spare;
};

struct ServerReports {
  std::vector<ServerReport> reports;
};

/** Asks for the receiver's document in force, if it is at least `version`. */
struct DocumentRequest {
  uint64_t version = 0;
};

struct DocumentText {
  uint64_t version = 0;
  std::string digest;
  std::string text;
};

/** Part of an instance's share of a rate limit, lent to another instance. */
struct CapacityLease {
  /** The name of the lease and the number of its extension; see LeaseName(). */
  uint64_t id = 0;
  ClientAccountId client_account;
  /** Tokens that pass to the borrower's bucket with the grant. */
  MicroTokens tokens = 0;
  MicroTokens rate_per_s = 0;
  MicroTokens burst = 0;
  Duration duration{};
};

struct LeaseRequest {
  CapacityLease wanted;
};

/** Reply to a LeaseRequest; tokens, rate and burst are 0 if it is refused. */
struct LeaseGrant {
  CapacityLease granted;
};

struct LeaseRelease {
  uint64_t lease_id = 0;
};

struct InstanceListMessage {
  InstanceList list;
};

/** New or changed members, which can include the sender itself. */
struct MemberUpdate {
  std::vector<Member> members;
};

/** Request rate of a client account, reported in a FleetHeartbeat. */
struct AccountUsage {
  ClientAccountId client_account;
  /** Requests per second at all instances in FleetHeartbeat::scope. */
  double demand_per_s = 0;
  /** The part that the sender receives itself. */
  double own_per_s = 0;
};

/**
 * The requests that the instances of a data centre may send to its cold servers
 * are divided by its leader alone, since instances can disagree on who runs.
 */
struct CapacityGrant {
  /**
   * From 0 to 1: part of each server's limit that may be used. Below 1 if the
   * leader knows of more instances than it reaches.
   */
  double part = 0;
  /** Running instances of the data centre, at least 1. */
  int instances = 1;
  /** Instances that callers are sent to. */
  std::vector<InstanceId> advertised;
  /** Data centres of the fleet and its servers, at least 1. */
  int data_centres = 1;
  /** Data centres that have servers and no running instance. */
  std::vector<DataCentreId> unattended;
};

/** The instances over which a FleetHeartbeat sums up request rates. */
enum class UsageScope { kInstance, kDataCentre, kFleet };

/**
 * Heartbeat of a fleet without an instance list, sent regularly over every
 * link. Shows that the sender is alive, and reports its copy of the platform's
 * store and request rates.
 */
struct FleetHeartbeat {
  /** Revision of the platform's store that the sender's copy has reached. */
  StoreRevision store_revision;
  /** True if the sender carries items that the restored store lacks. */
  bool carries_items = false;
  /** True if the sender reads the store itself; else peers send it changes. */
  bool reads_store = false;
  /** True if the sender can receive patches in a FeedUpdate. */
  bool accepts_patches = false;
  /** Time since the sender's copy was known to be current; unset if never. */
  std::optional<Duration> store_age;
  /** Instances that have passed this on since the read; 0 for its own read. */
  int store_age_hops = 0;
  UsageScope scope = UsageScope::kInstance;
  /** Instances that the request rates cover; 0 if the heartbeat has none. */
  int covered = 0;
  /** Requests per second of all client accounts, in `scope`. */
  double requests_per_s = 0;
  /** The part that the sender receives itself. */
  double own_requests_per_s = 0;
  std::vector<AccountUsage> usage;
  /** True if the sender runs for long enough to have found the others. */
  bool settled = false;
  /** Set by the leader of a data centre for the instances there. */
  std::optional<CapacityGrant> capacity_grant;
};

/** Asks the leader of a data centre for tokens of a client account. */
struct TokenRequest {
  uint64_t id = 0;
  ClientAccountId client_account;
  int tokens = 1;
};

/** The leader's reply; `granted` is 0 if it has no token to lend. */
struct TokenReply {
  uint64_t id = 0;
  int granted = 0;
};

/** How an instance can receive values in a FeedUpdate. */
enum class FeedEncoding {
  /** As they are: instances of earlier versions. */
  kPlain,
  /** Compressed. */
  kPacked,
  /** As patches, compressed where none are known. */
  kPatched,
};

/** Asks for the changes of the platform's store after a revision. */
struct FeedRequest {
  StoreRevision after;
  FeedEncoding encoding = FeedEncoding::kPlain;
  /** True if the carried items are wanted, even if there are no changes. */
  bool wants_carried = false;
};

/** Changes of the platform's store. */
struct FeedUpdate {
  StoreChanges changes;
  /** Large values are compressed. Not sent: a receiver sees it by the item. */
  bool packed = false;
  /** What the sender carries, if the receiver may not know it. */
  std::optional<std::vector<CarriedNotice>> carried = std::nullopt;
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
                                 FeedUpdate,
                                 MessagePart>;

/** A message and the instance to send it to. */
struct OutgoingMessage {
  InstanceId to;
  PeerMessage message;
};

}  // namespace mangodoor

#endif  // PROCESS_PEERS_PEER_MESSAGE_H_
