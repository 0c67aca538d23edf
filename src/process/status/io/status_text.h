#ifndef PROCESS_STATUS_IO_STATUS_TEXT_H_
#define PROCESS_STATUS_IO_STATUS_TEXT_H_

#include <string>
#include <vector>

#include "process/status/instance_status.h"
#include "process/versions/audit_table.h"

namespace mangodoor {

/** A status as tables for a terminal. */
std::string FormatStatus(const InstanceStatus& status);

/** The audit trail, one record with its details after the other. */
std::string FormatAudit(const std::vector<AuditRecord>& records);

}  // namespace mangodoor

#endif  // PROCESS_STATUS_IO_STATUS_TEXT_H_
