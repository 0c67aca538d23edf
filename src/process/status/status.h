#ifndef PROCESS_STATUS_STATUS_H_
#define PROCESS_STATUS_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "process/membership/membership.h"
#include "process/peers/peer_message.h"
#include "process/servers/server_state.h"

namespace mangodoor {

/** What this instance believes of a client account, for operators. */
struct AccountStatus {
  ClientAccountId client_account;
  MicroTokens tokens = 0;
  MicroTokens rate_per_s = 0;
  MicroTokens burst = 0;
  MicroTokens lent = 0;
  MicroTokens borrowed = 0;
  uint64_t admitted = 0;
  uint64_t refused = 0;
  int waiting = 0;
};

/** What this instance believes of a backend server, and why. */
struct ServerStatus {
  BackendServerId server;
  ServiceId service;
  DataCentreId data_centre;
  ServerState state = ServerState::kCold;
  /** In words, with the time since: "connection reset 2.1 s ago". */
  std::string reason;
  int outstanding = 0;
  /** Requests that this instance may have in flight there now. */
  int allowance = 0;
  Duration latency{};
  int waiting = 0;
};

/** What this instance believes of another one. */
struct PeerStatus {
  Instance instance;
  InstanceState state = InstanceState::kJoining;
  bool reachable = false;
  /** Time since it was last heard; Duration::max() if never. */
  Duration last_heard = Duration::max();
  uint64_t version = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_STATUS_STATUS_H_
