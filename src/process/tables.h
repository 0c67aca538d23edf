#ifndef PROCESS_TABLES_H_
#define PROCESS_TABLES_H_

#include "process/accounts/account_table.h"
#include "process/accounts/usage_table.h"
#include "process/counters.h"
#include "process/membership/membership_table.h"
#include "process/servers/server_table.h"
#include "process/versions/audit_table.h"
#include "process/versions/version_table.h"

namespace mangodoor {

/**
 * The shared tables of an instance, in the order of their lock ranks. The
 * counters are atomic and have no lock.
 */
struct Tables {
  VersionTable versions;
  MembershipTable membership;
  AccountTable accounts;
  UsageTable usage;
  ServerTable servers;
  AuditTable audit;
  Counters counters;
};

}  // namespace mangodoor

#endif  // PROCESS_TABLES_H_
