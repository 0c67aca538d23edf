#ifndef PROCESS_STATUS_INSTANCE_STATUS_H_
#define PROCESS_STATUS_INSTANCE_STATUS_H_

#include <optional>
#include <string>
#include <vector>

#include "process/clock.h"
#include "process/membership/membership.h"
#include "process/status/fleet_status.h"
#include "process/status/status.h"

namespace mangodoor {

struct Tables;

/** Whether an instance takes keyed requests, and if not, why. */
struct Readiness {
  bool ready = false;
  /** Empty when ready. */
  std::string reason;
};

/** One view of an instance over all of its tables, for operators. */
struct InstanceStatus {
  Instance self;
  InstanceState state = InstanceState::kJoining;
  Readiness readiness;
  /** 0 before the first document. */
  uint64_t version = 0;
  std::string digest;
  /** False while fenced: keyed requests are refused. */
  bool configuration_fresh = false;
  uint64_t list_revision = 0;
  std::vector<PeerStatus> peers;
  std::vector<ServerStatus> servers;
  std::vector<AccountStatus> accounts;
  /** Set in a fleet without an instance list. */
  std::optional<FleetStatus> fleet;
};

/** `is_fresh` is false while the configuration may be out of date. */
Readiness DecideReadiness(bool has_document,
                          InstanceState state,
                          bool is_fresh,
                          bool can_use_share);

/**
 * The decision above for the tables as they are. `fleet` is null where the
 * instances are on a list and share rates by entry addresses.
 */
Readiness ReadinessOf(const Tables& tables,
                      const FleetTables* fleet,
                      TimePoint now);

/**
 * Reads each table in turn; the parts may be a few microseconds apart, since
 * no lock is held from one table to the next.
 */
InstanceStatus CollectStatus(const Tables& tables,
                             const FleetTables* fleet,
                             TimePoint now);

const char* Name(InstanceState state);
const char* Name(ServerState state);

}  // namespace mangodoor

#endif  // PROCESS_STATUS_INSTANCE_STATUS_H_
