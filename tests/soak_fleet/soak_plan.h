#ifndef TESTS_SOAK_FLEET_SOAK_PLAN_H_
#define TESTS_SOAK_FLEET_SOAK_PLAN_H_

#include <chrono>
#include <string>
#include <vector>

#include "fleet/harness/fault_relay.h"
#include "standins/lib/server_faults.h"

namespace mangodoor {

/**
 * Size of the fleet, its load and the length of the run. A zone is the
 * platform's word for a data centre.
 */
struct SoakSize {
  int instances = 6;
  int zones = 2;
  int servers_per_zone = 3;
  int callers = 12;
  std::chrono::milliseconds length{20000};
  /**
   * Servers also respond with 503 to requests that ran. The interface of the
   * platform does not say whether its servers do.
   */
  bool unavailable_after_run = false;
};

enum class SoakFaultKind {
  kKillInstance,
  kPauseInstance,
  kStopInstance,
  kKillAllInstances,
  kKillServer,
  kPauseServer,
  kDrainServer,
  kCallerLink,
  kCallerReset,
  kStoreLink,
  kServerLink,
  kServerReset,
  kStoreMode,
  kStoreCompact,
  kEvacuate,
  kNewVersion,
  // Only in the series of PlanSoak.
  kReloadInstance,
  kServerResponses,
  /** Pages of the store that may be stale have two ages. */
  kStoreStale,
  /** Large versions in quick succession. */
  kLargeVersions,
  kServerCold,
  /** The store comes back from an older copy. */
  kStoreRestore,
};

const char* FaultName(SoakFaultKind kind);

/** One fault. Faults can overlap, even on the same process. */
struct SoakFault {
  SoakFaultKind kind = SoakFaultKind::kNewVersion;
  /** Index of the instance, server or zone. */
  int target = 0;
  /** For kCallerLink, kStoreLink and kServerLink. */
  LinkFault link = LinkFault::kNone;
  /** For kStoreMode: mode of the stand-in store. */
  std::string mode;
  /** For kServerResponses. */
  ServerFaultKind server_fault = ServerFaultKind::kExtraResponse;
  int share_percent = 0;
  /** For kStoreRestore. */
  std::chrono::milliseconds copy_age{};
  /** Time from the start of the run. */
  std::chrono::milliseconds at{};
  std::chrono::milliseconds duration{};
};

/**
 * Returns the faults of a run, ordered by start time: single faults, series of
 * faulty responses of several servers, series of signals and new versions,
 * trouble with what the store holds, servers that turn cold, and restorations
 * of the store from older copies. The seed
 * determines all of them.
 */
std::vector<SoakFault> PlanSoak(uint64_t seed, const SoakSize& size);

std::string Describe(const SoakFault& fault);

}  // namespace mangodoor

#endif  // TESTS_SOAK_FLEET_SOAK_PLAN_H_
