#ifndef PROCESS_STATUS_IO_STATUS_CODEC_H_
#define PROCESS_STATUS_IO_STATUS_CODEC_H_

#include <string>
#include <vector>

#include "process/status/instance_status.h"
#include "process/versions/audit_table.h"

namespace mangodoor {

/** The body of /status; docs/operators.md describes it. */
std::string EncodeStatus(const InstanceStatus& status);

/** Decodes the body of /status. Throws std::runtime_error if it is invalid. */
InstanceStatus DecodeStatus(const std::string& text);

/** The body of /audit, oldest record first. */
std::string EncodeAudit(const std::vector<AuditRecord>& records);

/** Decodes the body of /audit. Throws std::runtime_error if it is invalid. */
std::vector<AuditRecord> DecodeAudit(const std::string& text);

}  // namespace mangodoor

#endif  // PROCESS_STATUS_IO_STATUS_CODEC_H_
