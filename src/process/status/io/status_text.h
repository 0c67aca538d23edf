#ifndef PROCESS_STATUS_IO_STATUS_TEXT_H_
#define PROCESS_STATUS_IO_STATUS_TEXT_H_

#include <string>
#include <vector>

#include "process/status/instance_status.h"
#include "process/versions/audit_table.h"

namespace mangodoor {

/** Formats a status as tables for a terminal. */
std::string FormatStatus(const InstanceStatus& status);

/** Formats the audit trail, with the details of each record below it. */
std::string FormatAudit(const std::vector<AuditRecord>& records);

}  // namespace mangodoor

#endif  // PROCESS_STATUS_IO_STATUS_TEXT_H_
