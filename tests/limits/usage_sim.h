#ifndef TESTS_LIMITS_USAGE_SIM_H_
#define TESTS_LIMITS_USAGE_SIM_H_

#include <deque>
#include <random>
#include <vector>

#include "process/accounts/usage_limiter.h"

namespace mangodoor {

/** Instances of several data centres that share the rate of one account. */
class UsageSim {
 public:
  UsageSim(int data_centres,
           int instances_each,
           double rate_per_s,
           double burst);

  void SetRate(double rate_per_s, double burst);
  /** Sets how many requests a second callers send to an instance. */
  void SetDemand(int instance, double per_s);
  void SetDemandEverywhere(double per_s);
  /** Cuts an instance off from all others, or reconnects it. */
  void SetCut(int instance, bool cut);
  void SetCutEverywhere(bool cut);
  void Restart(int instance);
  void RunFor(Duration duration);

  int size() const { return static_cast<int>(instances_.size()); }
  /**
   * Maximum number of requests admitted in any window of length `window` since
   * ResetCounts().
   */
  size_t MaxAdmitted(Duration window) const;
  int offered() const { return offered_; }
  int refused() const { return refused_; }
  void ResetCounts();

 private:
  struct Instance {
    UsageLimiter limiter;
    int data_centre = 0;
    double demand_per_s = 0;
    bool cut = false;
    /** True once it has known the others; see FleetSize. */
    bool has_joined = false;
  };

  void Adopt(Instance& instance);
  /** Among how many instances it divides the rate; see FleetSize. */
  int KnownTo(const Instance& instance) const;
  Instance& LeaderOf(Instance& instance);
  bool AskLeader(Instance& instance);
  void RefillPool(Instance& leader);
  void OfferRequests(Instance& instance);
  void ExchangeHeartbeats();

  std::vector<Instance> instances_;
  VersionPtr version_;
  std::deque<TimePoint> admitted_;
  int offered_ = 0;
  int refused_ = 0;
  std::mt19937_64 random_{1};
  TimePoint now_{std::chrono::hours(1)};
  TimePoint next_heartbeat_{};
};

}  // namespace mangodoor

#endif  // TESTS_LIMITS_USAGE_SIM_H_
