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

enum class Policy {
  kRandom,
  kRoundRobin,
  kLeastOutstanding,
  kTwoChoices,
  kProduct,
  kProductWithHedges,
};

const char* PolicyName(Policy policy);

/** One measurement: a service, its load, and what goes wrong. */
struct SimConfig {
  Policy policy = Policy::kProduct;
  int instances = 17;
  int data_centres = 4;
  int servers = 10;
  int slots = 3;
  Duration mean_service = std::chrono::milliseconds(20);
  bool log_normal = false;
  /** Offered load, as a share of the slots of all servers. */
  double load = 0.8;
  Duration length = std::chrono::seconds(40);
  /** Age of the load that answers and reports state. */
  Duration report_age = std::chrono::milliseconds(500);
  Duration one_way = std::chrono::microseconds(500);
  /** One server in ten is this much slower from `fault_start` on. */
  double slow_factor = 1;
  Duration fault_start = std::chrono::seconds(10);
  /** The first data centre is out from `fault_start` to `fault_end`. */
  bool data_centre_leaves = false;
  Duration fault_end = std::chrono::seconds(20);
  /** The first account sends this many times its rate. */
  double excess = 1;
  unsigned seed = 1;
};

struct SimResult {
  /** Latencies in milliseconds of each account, from `fault_start` on. */
  std::vector<std::vector<double>> latencies;
  uint64_t requests = 0;
  uint64_t failed = 0;
  uint64_t late = 0;
  uint64_t hedges = 0;
  double probes_per_server_s = 0;
};

SimResult Simulate(const SimConfig& config);

/** The `share` quantile of all accounts together, in milliseconds. */
double Quantile(const SimResult& result, double share);

/** The highest p99 of all accounts but the first, in milliseconds. */
double WorstAccountP99(const SimResult& result);

}  // namespace mangodoor::bench

#endif  // BENCH_LIB_ROUTING_SIM_H_
