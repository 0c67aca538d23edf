#include "soak_fleet/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using Random = std::mt19937_64;

// Time from the start of the run to the first fault.
constexpr milliseconds kStartDelay{1500};
// No fault starts in the last kEndMargin of a run, and all faults end at least
// kEndMargin / 2 before the end of the run.
constexpr milliseconds kEndMargin{4000};
constexpr milliseconds kMeanInterval{900};
constexpr int kMinDurationMs = 300;
constexpr int kDurationRangeMs = 5000;
constexpr milliseconds kEvacuationDuration{9000};

constexpr std::array<LinkFault, 4> kLinkFaults{
    LinkFault::kSilent, LinkFault::kNoDataToTarget, LinkFault::kNoDataToCaller,
    LinkFault::kDelayed};
constexpr std::array<const char*, 2> kStoreModes{"busy", "silent"};

int RandomBelow(Random& random, int bound) {
  return static_cast<int>(random() % static_cast<uint64_t>(bound));
}

int ChooseTarget(SoakFaultKind kind, Random& random, const SoakSize& size) {
  switch (kind) {
    case SoakFaultKind::kKillServer:
    case SoakFaultKind::kPauseServer:
    case SoakFaultKind::kDrainServer:
    case SoakFaultKind::kServerLink:
    case SoakFaultKind::kServerReset:
      return RandomBelow(random, size.zones * size.servers_per_zone);
    case SoakFaultKind::kEvacuate:
      return RandomBelow(random, size.zones);
    default:
      return RandomBelow(random, size.instances);
  }
}

SoakFault MakeFault(Random& random, const SoakSize& size) {
  constexpr int kKinds = static_cast<int>(SoakFaultKind::kNewVersion) + 1;
  SoakFault fault;
  // On average, more than one fault in three is a new version, published by an
  // operator.
  fault.kind = RandomBelow(random, 3) == 0
                   ? SoakFaultKind::kNewVersion
                   : static_cast<SoakFaultKind>(RandomBelow(random, kKinds));
  fault.target = ChooseTarget(fault.kind, random, size);
  fault.link = kLinkFaults.at(random() % kLinkFaults.size());
  fault.mode = kStoreModes.at(random() % kStoreModes.size());
  fault.duration =
      milliseconds(kMinDurationMs + RandomBelow(random, kDurationRangeMs));
  if (fault.kind == SoakFaultKind::kEvacuate)
    fault.duration = kEvacuationDuration;
  return fault;
}

}  // namespace

const char* FaultName(SoakFaultKind kind) {
  switch (kind) {
    case SoakFaultKind::kKillInstance:
      return "kill instance";
    case SoakFaultKind::kPauseInstance:
      return "pause instance";
    case SoakFaultKind::kStopInstance:
      return "stop instance";
    case SoakFaultKind::kKillAllInstances:
      return "kill all instances";
    case SoakFaultKind::kKillServer:
      return "kill server";
    case SoakFaultKind::kPauseServer:
      return "pause server";
    case SoakFaultKind::kDrainServer:
      return "drain server";
    case SoakFaultKind::kCallerLink:
      return "callers' link of instance";
    case SoakFaultKind::kCallerReset:
      return "reset callers of instance";
    case SoakFaultKind::kStoreLink:
      return "store link of instance";
    case SoakFaultKind::kServerLink:
      return "link to server";
    case SoakFaultKind::kServerReset:
      return "reset connections to server";
    case SoakFaultKind::kStoreMode:
      return "store";
    case SoakFaultKind::kStoreCompact:
      return "store forgets history";
    case SoakFaultKind::kEvacuate:
      return "evacuate zone";
    case SoakFaultKind::kNewVersion:
      return "new version";
  }
  return "";
}

std::vector<SoakFault> PlanSoak(uint64_t seed, const SoakSize& size) {
  Random random(seed);
  std::vector<SoakFault> faults;
  milliseconds at = kStartDelay;
  while (at < size.length - kEndMargin) {
    SoakFault fault = MakeFault(random, size);
    fault.at = at;
    fault.duration =
        std::min(fault.duration, size.length - kEndMargin / 2 - at);
    faults.push_back(fault);
    at += milliseconds(
        RandomBelow(random, 2 * static_cast<int>(kMeanInterval.count())));
  }
  return faults;
}

std::string Describe(const SoakFault& fault) {
  std::string text = std::to_string(fault.at.count()) +
                     " ms: " + FaultName(fault.kind) + " " +
                     std::to_string(fault.target) + " for " +
                     std::to_string(fault.duration.count()) + " ms";
  if (fault.kind == SoakFaultKind::kStoreMode)
    text += ", " + fault.mode;
  const bool is_link = fault.kind == SoakFaultKind::kCallerLink ||
                       fault.kind == SoakFaultKind::kStoreLink ||
                       fault.kind == SoakFaultKind::kServerLink;
  if (is_link)
    text += ", link fault " + std::to_string(static_cast<int>(fault.link));
  return text;
}

}  // namespace mangodoor
