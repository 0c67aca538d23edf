#ifndef PROCESS_SERVERS_SERVER_STATE_H_
#define PROCESS_SERVERS_SERVER_STATE_H_

#include "process/clock.h"
#include "version/ids.h"

namespace mangodoor {

enum class ServerState { kCold, kWarm, kSlow, kDraining, kDown };

/** State of a backend server, as observed by one instance. */
struct ServerReport {
  BackendServerId server;
  ServerState state = ServerState::kCold;
  /** Requests in flight that the server reported; -1 if it did not. */
  int in_flight = -1;
  /** Time since the observation; time on the wire is not counted. */
  Duration age{};
  /** The instance that made the observation. */
  InstanceId source;
};

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SERVER_STATE_H_
