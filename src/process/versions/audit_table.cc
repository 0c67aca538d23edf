#include "process/versions/audit_table.h"

#include <utility>

namespace mangodoor {
namespace {

// An instance has no disk. 1,000 records cover more than two hours at the
// target rate of 9,400 changes a day.
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
