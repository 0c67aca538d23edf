#ifndef PROCESS_VERSIONS_IO_VERSION_AUDIT_H_
#define PROCESS_VERSIONS_IO_VERSION_AUDIT_H_

#include <string>

#include "process/versions/version_table.h"

namespace mangodoor {

class Clock;
struct AuditTable;

/**
 * Records and logs that version `after` came into force, and what changed.
 * `before` is null for the first version, for which a summary is recorded.
 */
void RecordInForce(AuditTable& audit,
                   const Clock& clock,
                   const Version* before,
                   const Version& after,
                   const InstanceId& source);

/** Records and logs the planned changes that came into force. */
void RecordPlannedChanges(AuditTable& audit,
                          const Clock& clock,
                          const Version& before,
                          const Version& after);

/** Records and logs that a document was rejected, and why. */
void RecordRejection(AuditTable& audit,
                     const Clock& clock,
                     const RejectedDocument& document,
                     const InstanceId& source,
                     const std::string& reason);

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_IO_VERSION_AUDIT_H_
