#ifndef TESTS_SOAK_FLEET_SOAK_PLAN_H_
#define TESTS_SOAK_FLEET_SOAK_PLAN_H_

#include <chrono>
#include <string>
#include <vector>

#include "fleet/harness/fault_relay.h"

namespace mangodoor {

/** How much runs, and for how long. */
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

const char* Name(SoakFaultKind kind);

/** One fault; several may overlap, also on one process. */
struct SoakFault {
  SoakFaultKind kind = SoakFaultKind::kNewVersion;
  /** Number of the instance, server or zone. */
  int target = 0;
  LinkFault link = LinkFault::kNone;
  /** What the store does. */
  std::string mode;
  std::chrono::milliseconds at{};
  std::chrono::milliseconds lasts{};
};

/** The faults of a run, by time; the same for the same seed. */
std::vector<SoakFault> PlanSoak(uint64_t seed, const SoakSize& size);

std::string Describe(const SoakFault& fault);

}  // namespace mangodoor

#endif  // TESTS_SOAK_FLEET_SOAK_PLAN_H_
