#include "soak_fleet/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using Random = std::mt19937_64;

// Callers need a moment to start, and faults one to end.
constexpr milliseconds kFirst{1500};
constexpr milliseconds kLast{4000};
constexpr milliseconds kMeanSpacing{900};
constexpr int kShortestMs = 300;
constexpr int kLongestMs = 5000;
constexpr milliseconds kEvacuation{9000};

constexpr std::array<LinkFault, 4> kLinkFaults{
    LinkFault::kSilent, LinkFault::kNothingToTarget,
    LinkFault::kNothingToCaller, LinkFault::kLate};
constexpr std::array<const char*, 2> kStoreModes{"busy", "silent"};

int Below(Random& random, int bound) {
  return static_cast<int>(random() % static_cast<uint64_t>(bound));
}

int TargetOf(SoakFaultKind kind, Random& random, const SoakSize& size) {
  switch (kind) {
    case SoakFaultKind::kKillServer:
    case SoakFaultKind::kPauseServer:
    case SoakFaultKind::kDrainServer:
    case SoakFaultKind::kServerLink:
    case SoakFaultKind::kServerReset:
      return Below(random, size.zones * size.servers_per_zone);
    case SoakFaultKind::kEvacuate:
      return Below(random, size.zones);
    default:
      return Below(random, size.instances);
  }
}

SoakFault MakeFault(Random& random, const SoakSize& size) {
  constexpr int kKinds = static_cast<int>(SoakFaultKind::kNewVersion) + 1;
  SoakFault fault;
  // Every third one is a change by the operator.
  fault.kind = Below(random, 3) == 0
                   ? SoakFaultKind::kNewVersion
                   : static_cast<SoakFaultKind>(Below(random, kKinds));
  fault.target = TargetOf(fault.kind, random, size);
  fault.link = kLinkFaults.at(random() % kLinkFaults.size());
  fault.mode = kStoreModes.at(random() % kStoreModes.size());
  fault.lasts = milliseconds(kShortestMs + Below(random, kLongestMs));
  if (fault.kind == SoakFaultKind::kEvacuate)
    fault.lasts = kEvacuation;
  return fault;
}

}  // namespace

const char* Name(SoakFaultKind kind) {
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
  milliseconds at = kFirst;
  while (at < size.length - kLast) {
    SoakFault fault = MakeFault(random, size);
    fault.at = at;
    fault.lasts = std::min(fault.lasts, size.length - kLast / 2 - at);
    faults.push_back(fault);
    at +=
        milliseconds(Below(random, 2 * static_cast<int>(kMeanSpacing.count())));
  }
  return faults;
}

std::string Describe(const SoakFault& fault) {
  std::string text = std::to_string(fault.at.count()) +
                     " ms: " + Name(fault.kind) + " " +
                     std::to_string(fault.target) + " for " +
                     std::to_string(fault.lasts.count()) + " ms";
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
