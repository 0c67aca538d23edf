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

// Seeds of the series. Each has a random generator of its own, so that the
// single faults of a seed stay the same.
constexpr uint64_t kResponseSeriesSeed = 0x5e51e5;
constexpr uint64_t kOperatorSeriesSeed = 0x09e7a7;
constexpr uint64_t kStoreSeriesSeed = 0x57a1e;
constexpr uint64_t kColdSeriesSeed = 0xc01d;
constexpr uint64_t kRestoreSeriesSeed = 0x2e5702e;
constexpr int kMaxSeriesIntervalMs = 3000;
constexpr int kMaxOperatorIntervalMs = 9000;

std::vector<SoakFault> PlanResponseSeries(uint64_t seed, const SoakSize& size) {
  static_assert(static_cast<int>(ServerFaultKind::kUnavailableAfterRun) ==
                kServerFaultKinds - 1);
  const int kinds = kServerFaultKinds - (size.unavailable_after_run ? 0 : 1);
  Random random(seed ^ kResponseSeriesSeed);
  std::vector<SoakFault> faults;
  milliseconds at = kStartDelay;
  while (at < size.length - kEndMargin) {
    SoakFault fault;
    fault.kind = SoakFaultKind::kServerResponses;
    fault.server_fault =
        static_cast<ServerFaultKind>(RandomBelow(random, kinds));
    fault.share_percent = 10 + RandomBelow(random, 50);
    fault.duration =
        milliseconds(kMinDurationMs + RandomBelow(random, kDurationRangeMs));
    for (int i = 0; i < size.zones * size.servers_per_zone; ++i) {
      fault.target = i;
      fault.at = at + milliseconds(RandomBelow(random, 400));
      if (RandomBelow(random, 3) > 0)
        faults.push_back(fault);
    }
    at += milliseconds(RandomBelow(random, kMaxSeriesIntervalMs));
  }
  return faults;
}

std::vector<SoakFault> PlanOperatorSeries(uint64_t seed, const SoakSize& size) {
  constexpr std::array<SoakFaultKind, 4> kKinds{
      SoakFaultKind::kReloadInstance, SoakFaultKind::kReloadInstance,
      SoakFaultKind::kNewVersion, SoakFaultKind::kStopInstance};
  Random random(seed ^ kOperatorSeriesSeed);
  std::vector<SoakFault> faults;
  milliseconds at = kStartDelay;
  for (;;) {
    at += milliseconds(RandomBelow(random, kMaxOperatorIntervalMs));
    const int length = 3 + RandomBelow(random, 4);
    for (int i = 0; i < length; ++i) {
      if (at >= size.length - kEndMargin)
        return faults;
      SoakFault fault;
      fault.kind = kKinds.at(random() % kKinds.size());
      fault.target = RandomBelow(random, size.instances);
      fault.at = at;
      faults.push_back(fault);
      at += milliseconds(50 + RandomBelow(random, 300));
    }
  }
}

// An instance that is stopped while pages are stale starts with such a copy.
std::vector<SoakFault> PlanStoreSeries(uint64_t seed, const SoakSize& size) {
  Random random(seed ^ kStoreSeriesSeed);
  std::vector<SoakFault> faults;
  milliseconds at = kStartDelay;
  while (at < size.length - kEndMargin) {
    SoakFault fault;
    fault.at = at;
    if (RandomBelow(random, 3) == 0) {
      fault.kind = SoakFaultKind::kLargeVersions;
      faults.push_back(fault);
    } else {
      fault.kind = SoakFaultKind::kStoreStale;
      fault.duration = milliseconds(1000 + RandomBelow(random, 4000));
      faults.push_back(fault);
      fault.kind = SoakFaultKind::kStopInstance;
      fault.target = RandomBelow(random, size.instances);
      faults.push_back(fault);
    }
    at += milliseconds(1000 + RandomBelow(random, kMaxOperatorIntervalMs));
  }
  return faults;
}

std::vector<SoakFault> PlanColdSeries(uint64_t seed, const SoakSize& size) {
  constexpr int kMinColdMs = 3000;
  constexpr int kColdRangeMs = 3000;
  constexpr int kMaxIntervalMs = 3000;
  Random random(seed ^ kColdSeriesSeed);
  std::vector<SoakFault> faults;
  milliseconds at = kStartDelay;
  while (at < size.length - kEndMargin - milliseconds(kMinColdMs)) {
    SoakFault fault;
    fault.kind = SoakFaultKind::kServerCold;
    fault.target = RandomBelow(random, size.zones * size.servers_per_zone);
    fault.at = at;
    fault.duration =
        milliseconds(kMinColdMs + RandomBelow(random, kColdRangeMs));
    faults.push_back(fault);
    at += milliseconds(500 + RandomBelow(random, kMaxIntervalMs));
  }
  return faults;
}

std::vector<SoakFault> PlanRestoreSeries(uint64_t seed, const SoakSize& size) {
  constexpr int kMinAwayMs = 200;
  constexpr int kAwayRangeMs = 1500;
  constexpr int kMinAgeMs = 500;
  constexpr int kAgeRangeMs = 7000;
  constexpr int kMaxIntervalMs = 15000;
  Random random(seed ^ kRestoreSeriesSeed);
  std::vector<SoakFault> faults;
  milliseconds at = kStartDelay + milliseconds(RandomBelow(random, 6000));
  while (at < size.length - kEndMargin) {
    SoakFault fault;
    fault.kind = SoakFaultKind::kStoreRestore;
    fault.at = at;
    fault.duration =
        milliseconds(kMinAwayMs + RandomBelow(random, kAwayRangeMs));
    fault.copy_age = milliseconds(kMinAgeMs + RandomBelow(random, kAgeRangeMs));
    faults.push_back(fault);
    at += fault.duration +
          milliseconds(500 + RandomBelow(random, kMaxIntervalMs));
  }
  return faults;
}

std::vector<SoakFault> PlanSingleFaults(uint64_t seed, const SoakSize& size) {
  Random random(seed);
  std::vector<SoakFault> faults;
  milliseconds at = kStartDelay;
  while (at < size.length - kEndMargin) {
    SoakFault fault = MakeFault(random, size);
    fault.at = at;
    faults.push_back(fault);
    at += milliseconds(
        RandomBelow(random, 2 * static_cast<int>(kMeanInterval.count())));
  }
  return faults;
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
    case SoakFaultKind::kReloadInstance:
      return "reload settings of instance";
    case SoakFaultKind::kServerResponses:
      return "faulty responses of server";
    case SoakFaultKind::kStoreStale:
      return "store has stale pages";
    case SoakFaultKind::kLargeVersions:
      return "large versions";
    case SoakFaultKind::kServerCold:
      return "cold server";
    case SoakFaultKind::kStoreRestore:
      return "store comes back from an older copy";
  }
  return "";
}

std::vector<SoakFault> PlanSoak(uint64_t seed, const SoakSize& size) {
  std::vector<SoakFault> faults = PlanSingleFaults(seed, size);
  for (const SoakFault& fault : PlanResponseSeries(seed, size))
    faults.push_back(fault);
  for (const SoakFault& fault : PlanOperatorSeries(seed, size))
    faults.push_back(fault);
  for (const SoakFault& fault : PlanStoreSeries(seed, size))
    faults.push_back(fault);
  for (const SoakFault& fault : PlanColdSeries(seed, size))
    faults.push_back(fault);
  for (const SoakFault& fault : PlanRestoreSeries(seed, size))
    faults.push_back(fault);
  for (SoakFault& fault : faults) {
    fault.duration =
        std::min(fault.duration, size.length - kEndMargin / 2 - fault.at);
  }
  std::stable_sort(
      faults.begin(), faults.end(),
      [](const SoakFault& a, const SoakFault& b) { return a.at < b.at; });
  return faults;
}

std::string Describe(const SoakFault& fault) {
  std::string text = std::to_string(fault.at.count()) +
                     " ms: " + FaultName(fault.kind) + " " +
                     std::to_string(fault.target) + " for " +
                     std::to_string(fault.duration.count()) + " ms";
  if (fault.kind == SoakFaultKind::kStoreMode)
    text += ", " + fault.mode;
  if (fault.kind == SoakFaultKind::kServerResponses) {
    text += ", " + std::string(NameOf(fault.server_fault)) + " in " +
            std::to_string(fault.share_percent) + "%";
  }
  if (fault.kind == SoakFaultKind::kStoreRestore)
    text += ", " + std::to_string(fault.copy_age.count()) + " ms old";
  const bool is_link = fault.kind == SoakFaultKind::kCallerLink ||
                       fault.kind == SoakFaultKind::kStoreLink ||
                       fault.kind == SoakFaultKind::kServerLink;
  if (is_link)
    text += ", link fault " + std::to_string(static_cast<int>(fault.link));
  return text;
}

}  // namespace mangodoor
