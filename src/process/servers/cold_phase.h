#ifndef PROCESS_SERVERS_COLD_PHASE_H_
#define PROCESS_SERVERS_COLD_PHASE_H_

#include <cstdint>
#include <deque>
#include <variant>

#include "process/clock.h"
#include "process/servers/instance_shares.h"
#include "version/ids.h"

namespace mangodoor {

struct ServerEntry;
struct ServerPool;

/** Why a server begins or ceases to be regarded as cold. */
enum class ColdCause {
  /** Its record in the platform's store. */
  kRecord,
  /** Its response to a probe. */
  kProbe,
  /** The reported time has passed. */
  kElapsed,
  /** Its record was removed or replaced by that of another server. */
  kRemoved,
};

const char* Name(ColdCause cause);

/** What happened since this instance began to regard a server as cold. */
struct ColdPhase {
  TimePoint began{};
  TimePoint until{};
  /** Requests sent to the server. */
  uint64_t requests = 0;
  /** The most requests sent within one second. */
  size_t most_in_one_second = 0;
  /** Times of the requests sent in the second before the latest one. */
  std::deque<TimePoint> recent;
};

/** Records a request sent to the server at `now`. */
void CountRequest(ColdPhase& phase, TimePoint now);

/** This instance begins to regard a server as cold. */
struct ColdPhaseBegan {
  BackendServerId server;
  ServiceId service;
  DataCentreId data_centre;
  bool own_data_centre = false;
  ColdCause cause = ColdCause::kRecord;
  /** How much longer the server stays cold. */
  Duration remaining{};
  /** What `share` is computed from. */
  ShareCounts counts;
  /** 0 if other instances have the whole share. */
  double share = 0;
  /** 0 without a share, and if the service has no limit or is not known. */
  double rate_per_s = 0;
  /** Requests of this instance that run at the server or are on their way. */
  int outstanding = 0;
};

/** This instance ceases to regard a server as cold. */
struct ColdPhaseEnded {
  BackendServerId server;
  ServiceId service;
  ColdCause cause = ColdCause::kElapsed;
  Duration lasted{};
  uint64_t requests = 0;
  size_t most_in_one_second = 0;
};

using ColdPhaseEvent = std::variant<ColdPhaseBegan, ColdPhaseEnded>;

/**
 * Begins or ends the server's cold phase as its ColdWindow requires, and adds
 * events to `pending_cold_events`. Called after each change of the window.
 */
void UpdateColdPhase(ServerPool& pool,
                     ServerEntry& server,
                     ColdCause cause,
                     TimePoint now);

/** Ends the server's cold phase, if it is in one. */
void EndColdPhase(ServerPool& pool,
                  ServerEntry& server,
                  ColdCause cause,
                  TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_SERVERS_COLD_PHASE_H_
