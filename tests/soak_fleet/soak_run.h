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
 * Injects the faults of a seed into a fleet of real processes, while callers
 * send requests and each instance is checked for the version in force. Ends
 * only processes that it started.
 */
class SoakRun {
 public:
  SoakRun(uint64_t seed, const SoakSize& size);
  ~SoakRun();

  /** Runs to the end. Returns a line for each violation of a guarantee. */
  std::vector<std::string> Run();

  /** Number of requests with status 200. */
  int served() const;
  std::string summary() const;

 private:
  struct ActiveFault {
    SoakFault fault;
    /** Indexes in SoakRecord::fault_periods. */
    std::vector<size_t> fault_periods;
  };

  void StartThreads();
  void StopThreads();
  void RunCaller(int caller);
  void RunVersionChecks(int instance);
  void RecordRequest(const ObservedRequest& request);

  void InjectFaults();
  void BeginFault(const SoakFault& fault);
  void BeginOnInstance(const SoakFault& fault);
  void BeginOnServer(const SoakFault& fault);
  void BeginOnStore(const SoakFault& fault);
  void FinishFault(const SoakFault& fault);
  void FinishOnServer(const SoakFault& fault);
  /** Checks how many requests a cold server got. */
  void CheckColdServer(const SoakFault& fault);
  /** True if the plan disturbs the server in another way meanwhile. */
  bool IsDisturbed(const SoakFault& cold) const;
  void FinishAllFaults();
  void CheckProcesses();
  void CheckStop(int instance);
  /** True if the plan pauses the instance at any time. */
  bool IsEverPaused(int instance) const;
  /** Sends a signal once the instance can hold it back or handle it. */
  void SignalInstance(int instance, int signal);
  void RecordMemory(int instance);
  void Restart(int instance);
  void PublishVersion();
  void PublishLargeVersions();
  size_t BeginFaultPeriod(int instance);
  /** Sends servers the faults that the plan wants, if they differ. */
  void UpdateServerFaults();
  std::string WantedServerFaults(int server) const;
  bool IsPaused(int server) const;
  void CollectRuns(int server);
  bool WaitForRecovery();

  const SoakSize size_;
  const std::vector<SoakFault> plan_;
  PlatformFleet fleet_;
  std::atomic<bool> stop_{false};
  std::atomic<uint64_t> current_version_{0};
  std::vector<std::atomic<int>> incarnations_;
  std::vector<ActiveFault> active_;
  /** By server, the faults that it was sent; none if it has no faults. */
  std::map<int, std::string> server_faults_;
  /** For each instance that is stopping, when it got SIGTERM. */
  std::map<int, TimePoint> stopping_;
  std::vector<std::string> violations_;
  std::vector<std::thread> threads_;
  mutable OrderedMutex mutex_{LockRank::kStandin};
  SoakRecord record_;
};

}  // namespace mangodoor

#endif  // TESTS_SOAK_FLEET_SOAK_RUN_H_
