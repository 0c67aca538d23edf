#ifndef BENCH_LIB_ROUTING_SIM_H_
#define BENCH_LIB_ROUTING_SIM_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "process/servers/server_pool.h"

namespace mangodoor::bench {

/**
 * How instances choose a backend server. kProduct is the choice of mangodoor,
 * kProductWithHedges adds hedged requests, and the others are baselines.
 */
enum class Policy {
  kRandom,
  kRoundRobin,
  kLeastOutstanding,
  kTwoChoices,
  kProduct,
  kProductWithHedges,
};

const char* PolicyName(Policy policy);

/** The service, load and faults of one simulation. */
struct SimConfig {
  Policy policy = Policy::kProduct;
  int instances = 17;
  int data_centres = 4;
  int servers = 10;
  int slots = 3;
  Duration mean_service_time = std::chrono::milliseconds(20);
  /** Service times are log-normal if true, otherwise exponential. */
  bool log_normal = false;
  /** Offered load as a share of the slots of all servers. */
  double load = 0.8;
  Duration run_time = std::chrono::seconds(40);
  /** Age of the server load in responses, probe results and kTwoChoices. */
  Duration report_age = std::chrono::milliseconds(500);
  /** Network delay of a message in one direction. */
  Duration one_way_delay = std::chrono::microseconds(500);
  /** From `fault_start` on, one server in ten is slower by this factor. */
  double slow_factor = 1;
  Duration fault_start = std::chrono::seconds(10);
  /**
   * The first data centre is taken out of service at `fault_start` and returns
   * at `fault_end`.
   */
  bool data_centre_taken_out = false;
  Duration fault_end = std::chrono::seconds(20);
  /** The first client account sends this many times its normal load. */
  double first_account_factor = 1;
  unsigned seed = 1;
};

struct SimResult {
  /**
   * By client account: latencies in ms of the served requests that arrived
   * after `fault_start`.
   */
  std::vector<std::vector<double>> latencies;
  uint64_t requests = 0;
  uint64_t failed = 0;
  /** Served, but after more than kLateThreshold. */
  uint64_t late = 0;
  uint64_t hedges = 0;
  double probes_per_server_s = 0;
};

SimResult Simulate(const SimConfig& config);

/** The `share` quantile of all latencies, in ms. */
double Quantile(const SimResult& result, double share);

/** The highest p99 of any client account but the first, in ms. */
double WorstAccountP99(const SimResult& result);

}  // namespace mangodoor::bench

#endif  // BENCH_LIB_ROUTING_SIM_H_
