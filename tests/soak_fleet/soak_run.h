#ifndef TESTS_SOAK_FLEET_SOAK_RUN_H_
#define TESTS_SOAK_FLEET_SOAK_RUN_H_

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "platform_fleet/platform_fleet.h"
#include "process/ordered_mutex.h"
#include "soak_fleet/soak_plan.h"
#include "soak_fleet/soak_record.h"

namespace mangodoor {

/**
 * Plays the faults of a seed on real processes, while callers call and every
 * instance is asked which version is in force. Ends only what it started.
 */
class SoakRun {
 public:
  SoakRun(uint64_t seed, const SoakSize& size);
  ~SoakRun();

  /** Plays to the end; returns the broken promises. */
  std::vector<std::string> Play();

  /** Calls that were answered with success. */
  int answered() const;
  std::string summary() const;

 private:
  struct Active {
    SoakFault fault;
    std::vector<size_t> troubles;
  };

  void StartThreads();
  void StopThreads();
  void CallLoop(int caller);
  void AskLoop(int instance);
  void Record(const SeenCall& call);

  void PlayFaults();
  void Begin(const SoakFault& fault);
  void BeginOnInstance(const SoakFault& fault);
  void BeginOnServer(const SoakFault& fault);
  void BeginOnStore(const SoakFault& fault);
  void Finish(const SoakFault& fault);
  void FinishOnServer(const SoakFault& fault);
  void EndAll();
  void WatchProcesses();
  void WatchStop(int instance);
  void Restart(int instance);
  void PublishVersion();
  size_t AddTrouble(int instance);
  void CollectRuns(int server);
  bool Recovers();

  const SoakSize size_;
  const std::vector<SoakFault> plan_;
  PlatformFleet fleet_;
  std::atomic<bool> stop_{false};
  std::atomic<uint64_t> current_version_{0};
  std::vector<std::atomic<int>> lifetimes_;
  std::vector<Active> active_;
  /** Instances that got SIGTERM, and when. */
  std::map<int, TimePoint> stopping_;
  std::vector<std::string> broken_;
  std::vector<std::thread> threads_;
  mutable OrderedMutex mutex_{LockRank::kStandin};
  SoakRecord record_;
};

}  // namespace mangodoor

#endif  // TESTS_SOAK_FLEET_SOAK_RUN_H_
