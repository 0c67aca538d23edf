#ifndef PROCESS_VERSIONS_AUDIT_TABLE_H_
#define PROCESS_VERSIONS_AUDIT_TABLE_H_

#include <deque>
#include <string>
#include <vector>

#include "process/clock.h"
#include "process/ordered_mutex.h"
#include "version/ids.h"

namespace mangodoor {

/**
 * Entry of the audit trail: a document that came into force or was rejected, or
 * planned changes that came into force.
 */
struct AuditRecord {
  WallTime at;
  uint64_t version = 0;
  std::string digest;
  /**
   * The peer that sent the document; empty if the document is from the
   * configuration service, and for planned changes.
   */
  InstanceId source;
  bool accepted = false;
  /**
   * The changes, one line each; a summary for the first version; the reason for
   * a rejection.
   */
  std::vector<std::string> details;
};

/** The audit trail: the latest records, oldest first. */
struct AuditTable {
  mutable OrderedMutex mutex{LockRank::kAudit};
  std::deque<AuditRecord> records;
};

/** Adds a record. If the table is full, the oldest record is dropped. */
void Record(AuditTable& table, AuditRecord record);

std::vector<AuditRecord> Records(const AuditTable& table);

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_AUDIT_TABLE_H_
