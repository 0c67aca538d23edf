#ifndef PROCESS_VERSIONS_AUDIT_TABLE_H_
#define PROCESS_VERSIONS_AUDIT_TABLE_H_

#include <deque>
#include <string>
#include <vector>

#include "process/clock.h"
#include "process/ordered_mutex.h"
#include "version/ids.h"

namespace mangodoor {

/** One accepted or rejected configuration, or planned change. */
struct AuditRecord {
  WallTime at;
  uint64_t version = 0;
  std::string digest;
  /** The peer it came from; empty for the configuration service. */
  InstanceId source;
  bool accepted = false;
  /** What changed, or why it was rejected; one line each. */
  std::vector<std::string> details;
};

/** The latest records, oldest first. */
struct AuditTable {
  mutable OrderedMutex mutex{LockRank::kAudit};
  std::deque<AuditRecord> records;
};

/** Adds a record and drops the oldest one over the limit. */
void Record(AuditTable& table, AuditRecord record);

std::vector<AuditRecord> Records(const AuditTable& table);

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_AUDIT_TABLE_H_
