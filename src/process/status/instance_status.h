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

/** Whether requests should be sent to an instance, and if not, why. */
struct Readiness {
  bool ready = false;
  /** Empty when ready. */
  std::string reason;
};

/** Status of an instance for operators, collected from all of its tables. */
struct InstanceStatus {
  Instance self;
  InstanceState state = InstanceState::kJoining;
  Readiness readiness;
  /** Version of the document in force; 0 if there is none. */
  uint64_t version = 0;
  std::string digest;
  /** False while the instance is fenced and refuses keyed requests. */
  bool configuration_fresh = false;
  uint64_t list_revision = 0;
  std::vector<PeerStatus> peers;
  std::vector<ServerStatus> servers;
  std::vector<AccountStatus> accounts;
  /** Set only in a fleet without an instance list. */
  std::optional<FleetStatus> fleet;
};

/**
 * Decides whether an instance is ready. `is_fresh` is false while the
 * configuration can be out of date; `can_use_share` is false while another
 * instance can still be using this instance's share of the rate limits.
 */
Readiness DecideReadiness(bool has_document,
                          InstanceState state,
                          bool is_fresh,
                          bool can_use_share);

/**
 * Calls DecideReadiness with values from the tables. `fleet` is null in a fleet
 * with an instance list. Such a fleet divides rate limits among its entry
 * addresses; in others, `can_use_share` is always true.
 */
Readiness ReadinessOf(const Tables& tables,
                      const FleetTables* fleet,
                      TimePoint now);

/**
 * Reads the tables one after the other. The parts can be a few microseconds
 * apart, since no lock is held from one table to the next.
 */
InstanceStatus CollectStatus(const Tables& tables,
                             const FleetTables* fleet,
                             TimePoint now);

const char* Name(InstanceState state);
const char* Name(ServerState state);

}  // namespace mangodoor

#endif  // PROCESS_STATUS_INSTANCE_STATUS_H_
