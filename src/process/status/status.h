#ifndef PROCESS_STATUS_STATUS_H_
#define PROCESS_STATUS_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "process/membership/membership.h"
#include "process/peers/peer_message.h"
#include "process/servers/instance_shares.h"
#include "process/servers/server_state.h"

namespace mangodoor {

/** A client account at this instance, for operators. */
struct AccountStatus {
  ClientAccountId client_account;
  MicroTokens tokens = 0;
  /** This instance's current part of the account's rate and burst. */
  MicroTokens rate_per_s = 0;
  MicroTokens burst = 0;
  /** Burst capacity lent to and borrowed from other instances. */
  MicroTokens lent = 0;
  MicroTokens borrowed = 0;
  uint64_t admitted = 0;
  uint64_t refused = 0;
  /** Requests that are waiting for a token. */
  int waiting = 0;
};

/** A backend server as seen by this instance, for operators. */
struct ServerStatus {
  BackendServerId server;
  ServiceId service;
  DataCentreId data_centre;
  ServerState state = ServerState::kCold;
  /** Why it is in that state, and since when: "connection reset 2.1 s ago". */
  std::string reason;
  /** Requests of this instance that are running at the server. */
  int outstanding = 0;
  /** Requests that this instance may have in flight at the server now. */
  int allowance = 0;
  /** Average latency of the server's responses. */
  Duration latency{};
  /** Requests in the queue of the service. */
  int waiting = 0;
};

/** Cold servers that register themselves, as seen by this instance. */
struct ColdServersStatus {
  /** Servers that are cold now. */
  int cold = 0;
  /** Requests sent to servers while they were cold, since the start. */
  uint64_t requests = 0;
  /** This instance's share of the limit of a server of its data centre. */
  double share = 0;
  /** What `share` is computed from. */
  ShareCounts counts;
};

/** Another instance of a fleet with an instance list, as seen by this one. */
struct PeerStatus {
  Instance instance;
  InstanceState state = InstanceState::kJoining;
  bool reachable = false;
  /** Time since the peer was last known to run; Duration::max() if never. */
  Duration time_since_heard = Duration::max();
  uint64_t version = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_STATUS_STATUS_H_
