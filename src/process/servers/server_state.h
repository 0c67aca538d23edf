#ifndef PROCESS_SERVERS_SERVER_STATE_H_
#define PROCESS_SERVERS_SERVER_STATE_H_

#include "process/clock.h"
#include "version/ids.h"

namespace mangodoor {

enum class ServerState { kCold, kWarm, kSlow, kDraining, kDown };

/** What one instance found out about a backend server. */
struct ServerReport {
  BackendServerId server;
  ServerState state = ServerState::kCold;
  /** Requests in flight, as the server stated; -1 if it did not. */
  int in_flight = -1;
  /** Time since the finding, counted by each holder of the report. */
  Duration age{};
  /** The instance that found it. */
  InstanceId source;
};

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SERVER_STATE_H_
