#include "process/versions/io/version_audit.h"

#include <utility>

#include "process/clock.h"
#include "process/io/log.h"
#include "process/versions/audit_table.h"
#include "version/document_diff.h"

namespace mangodoor {
namespace {

std::string SourceName(const InstanceId& source) {
  return source.empty() ? "configuration service" : source.value();
}

void LogAndRecord(AuditTable& audit,
                  LogLevel level,
                  const std::string& event,
                  AuditRecord record) {
  std::string details;
  for (const std::string& detail : record.details)
    details += (details.empty() ? "" : "; ") + detail;
  Log(level, event,
      {{"version", record.version},
       {"digest", record.digest},
       {"source", SourceName(record.source)},
       {"details", details}});
  Record(audit, std::move(record));
}

}  // namespace

void RecordInForce(AuditTable& audit,
                   const Clock& clock,
                   const Version* before,
                   const Version& after,
                   const InstanceId& source) {
  AuditRecord record{
      clock.WallNow(), after.document.version, after.digest, source, true, {}};
  record.details = before ? DescribeChanges(before->document, after.document)
                          : std::vector<std::string>{Summarise(after.document)};
  LogAndRecord(audit, LogLevel::kInfo, "version_in_force", std::move(record));
}

void RecordPlannedChanges(AuditTable& audit,
                          const Clock& clock,
                          const Version& before,
                          const Version& after) {
  AuditRecord record{clock.WallNow(),
                     after.document.version,
                     after.digest,
                     InstanceId(),
                     true,
                     {}};
  record.details = DescribeChanges(before.document, after.document);
  LogAndRecord(audit, LogLevel::kInfo, "planned_change_in_force",
               std::move(record));
}

void RecordRejection(AuditTable& audit,
                     const Clock& clock,
                     const RejectedDocument& document,
                     const InstanceId& source,
                     const std::string& reason) {
  LogAndRecord(audit, LogLevel::kError, "document_rejected",
               {clock.WallNow(),
                document.version,
                document.digest,
                source,
                false,
                {reason}});
}

}  // namespace mangodoor
