#ifndef PROCESS_SERVERS_SERVER_RECORD_H_
#define PROCESS_SERVERS_SERVER_RECORD_H_

#include <cstdint>
#include <string>

#include "process/clock.h"
#include "version/endpoint.h"
#include "version/ids.h"

namespace mangodoor {

/** A backend server as it registers itself. */
struct ServerRecord {
  BackendServerId id;
  ServiceId service;
  DataCentreId data_centre;
  Endpoint endpoint;
  int slots = 1;
  /** It leaves: no new work. */
  bool draining = false;
  /** How much longer it is cold, from when this was learned. */
  Duration cold_remaining{};
  /** Tells one start of a server from the next one under the same id. */
  int64_t incarnation = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SERVER_RECORD_H_
