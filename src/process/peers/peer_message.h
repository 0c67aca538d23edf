#ifndef PROCESS_PEERS_PEER_MESSAGE_H_
#define PROCESS_PEERS_PEER_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "process/clock.h"
#include "process/membership/membership.h"
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

using PeerMessage = std::variant<Hello,
                                 Proof,
                                 Heartbeat,
                                 ServerReports,
                                 DocumentRequest,
                                 DocumentText,
                                 LeaseRequest,
                                 LeaseGrant,
                                 LeaseRelease,
                                 InstanceListMessage>;

/** A message and the instance that it goes to. */
struct OutgoingMessage {
  InstanceId to;
  PeerMessage message;
};

}  // namespace mangodoor

#endif  // PROCESS_PEERS_PEER_MESSAGE_H_
