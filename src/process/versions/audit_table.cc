#include "process/versions/audit_table.h"

#include <utility>

namespace mangodoor {
namespace {

// Records are kept in memory, because an instance has no disk. At the target
// rate of 9,400 changes a day, 1,000 records cover more than two hours.
constexpr size_t kMaxRecords = 1000;

}  // namespace

void Record(AuditTable& table, AuditRecord record) {
  OrderedLock lock(table.mutex);
  table.records.push_back(std::move(record));
  if (table.records.size() > kMaxRecords)
    table.records.pop_front();
}

std::vector<AuditRecord> Records(const AuditTable& table) {
  OrderedLock lock(table.mutex);
  return {table.records.begin(), table.records.end()};
}

}  // namespace mangodoor
