#ifndef PROCESS_SERVERS_SERVER_RECORD_H_
#define PROCESS_SERVERS_SERVER_RECORD_H_

#include <cstdint>
#include <string>

#include "process/clock.h"
#include "process/registry/store_revision.h"
#include "version/endpoint.h"
#include "version/ids.h"

namespace mangodoor {

/** The record with which a backend server registers itself. */
struct ServerRecord {
  BackendServerId id;
  ServiceId service;
  DataCentreId data_centre;
  Endpoint endpoint;
  int slots = 1;
  /** True once the server is to get no new work. */
  bool draining = false;
  /** How much longer it stays cold, counted from when the record was read. */
  Duration cold_remaining{};
  /** Distinguishes the restarts of a server that keeps its id. */
  int64_t incarnation = 0;
  /** Revision of the store at which it was written; 0 if that is not known. */
  StoreRevision revision;
};

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_SERVER_RECORD_H_
