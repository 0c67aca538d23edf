#ifndef TESTS_SOAK_FLEET_SOAK_PLAN_H_
#define TESTS_SOAK_FLEET_SOAK_PLAN_H_

#include <chrono>
#include <string>
#include <vector>

#include "fleet/harness/fault_relay.h"

namespace mangodoor {

/** Size of the fleet and of its load, and duration of the faults. */
struct SoakSize {
  int instances = 6;
  int zones = 2;
  int servers_per_zone = 3;
  int callers = 12;
  std::chrono::milliseconds length{20000};
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
};

const char* FaultName(SoakFaultKind kind);

/** One fault. Faults can overlap, even on the same process. */
struct SoakFault {
  SoakFaultKind kind = SoakFaultKind::kNewVersion;
  /** Index of the instance, server or zone. */
  int target = 0;
  /** Used by the faults of links. */
  LinkFault link = LinkFault::kNone;
  /** Mode of the stand-in store, for kStoreMode. */
  std::string mode;
  /** Time from the start of the run. */
  std::chrono::milliseconds at{};
  std::chrono::milliseconds duration{};
};

/** Plans the faults of a run in the order of time, determined by the seed. */
std::vector<SoakFault> PlanSoak(uint64_t seed, const SoakSize& size);

std::string Describe(const SoakFault& fault);

}  // namespace mangodoor

#endif  // TESTS_SOAK_FLEET_SOAK_PLAN_H_
