#ifndef PROCESS_STATUS_FLEET_STATUS_H_
#define PROCESS_STATUS_FLEET_STATUS_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "process/clock.h"
#include "process/fleet/member.h"

namespace mangodoor {

struct Feed;
struct FleetTable;

/** What this instance believes of another one of a fleet without a list. */
struct MemberStatus {
  Member member;
  /** True while a link to it is open. */
  bool linked = false;
  /** Time since a message came from it; Duration::max() if none did. */
  Duration last_heard = Duration::max();
  /** Revision of its copy of the store; 0 if it has not stated one. */
  uint64_t store_revision = 0;
  bool reads_store = false;
};

/** What this instance believes of its fleet and of its copy of the store. */
struct FleetStatus {
  /** Place in its data centre; the first three keep the links. */
  size_t rank = 0;
  uint64_t store_revision = 0;
  /** Time since the copy was known to be current; none if it never was. */
  std::optional<Duration> store_age;
  bool reads_store = false;
  /** Requests a second that come to the whole fleet. */
  double calls_per_s = 0;
  /** The other instances, also those that are gone, by id. */
  std::vector<MemberStatus> members;
};

/** The tables that a fleet without an instance list has in addition. */
struct FleetTables {
  const FleetTable& fleet;
  const Feed& feed;
};

/** Reads the tables in turn, one lock at a time. */
FleetStatus CollectFleetStatus(const FleetTables& tables, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_STATUS_FLEET_STATUS_H_
