#ifndef PROCESS_STATUS_FLEET_STATUS_H_
#define PROCESS_STATUS_FLEET_STATUS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "process/clock.h"
#include "process/fleet/member.h"
#include "process/status/status.h"

namespace mangodoor {

struct Feed;
struct FleetTable;

/**
 * Another member of a fleet without an instance list, as seen by this instance.
 */
struct MemberStatus {
  Member member;
  /** True while a link to the member is open. */
  bool linked = false;
  /** Time since the last message from it; Duration::max() if none came. */
  Duration time_since_heard = Duration::max();
  /** Revision of its copy of the platform's store; 0 if it reported none. */
  uint64_t store_revision = 0;
  /** True if it reports that it reads the store itself. */
  bool reads_store = false;
};

/** State of the fleet and of this instance's copy of the platform's store. */
struct FleetStatus {
  /** This instance's rank in its data centre, from 0; 0 to 2 are the hubs. */
  size_t rank = 0;
  uint64_t store_revision = 0;
  /** Rises each time the store is restored from an older copy. */
  uint64_t store_era = 0;
  /** Items that stay in force although the restored store lacks them. */
  size_t carried_items = 0;
  /** Time since the copy was known to be current; unset if it never was. */
  std::optional<Duration> store_age;
  /** True if this instance reads the store itself. */
  bool reads_store = false;
  /** Entries of the store that could not be used. */
  uint64_t entries_refused = 0;
  /** Requests per second received by the whole fleet, as known here. */
  double requests_per_s = 0;
  ColdServersStatus cold_servers;
  /** The other instances, including those that are gone, sorted by id. */
  std::vector<MemberStatus> members;
};

/** The additional tables of a fleet without an instance list. */
struct FleetTables {
  const FleetTable& fleet;
  const Feed& feed;
};

/**
 * Reads the tables one after the other, with one lock held at a time. Leaves
 * `cold_servers` empty.
 */
FleetStatus CollectFleetStatus(const FleetTables& tables, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_STATUS_FLEET_STATUS_H_
