#include <tclap/CmdLine.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iostream>

#include "bench/lib/routing_sim.h"

namespace mangodoor::bench {
namespace {

using Json = nlohmann::json;

constexpr Policy kBaselines[] = {Policy::kRandom, Policy::kRoundRobin,
                                 Policy::kLeastOutstanding,
                                 Policy::kTwoChoices};
constexpr Policy kProducts[] = {Policy::kProduct, Policy::kProductWithHedges};

void AddRecord(Json& records,
               const std::string& measure,
               const std::string& unit,
               double product,
               double baseline) {
  const double ratio = baseline > 0 ? product / baseline : 0;
  std::printf("%-58s %-9s %10.3f %10.3f %8.3f\n", measure.c_str(), unit.c_str(),
              product, baseline, ratio);
  records.push_back({{"measure", measure},
                     {"unit", unit},
                     {"product", product},
                     {"baseline", baseline},
                     {"ratio", ratio}});
}

SimResult RunPolicy(SimConfig config, Policy policy) {
  config.policy = policy;
  return Simulate(config);
}

std::string MeasureName(const std::string& measure,
                        const SimConfig& config,
                        Policy policy) {
  return "routing/" + measure + "/" + std::to_string(config.servers) +
         (config.log_normal ? " servers log-normal/" : " servers/") +
         PolicyName(policy);
}

void MeasureSlowServer(const SimConfig& base, Json& records) {
  SimConfig config = base;
  config.slow_factor = 10;
  double best_p99 = 1e9;
  double best_p999 = 1e9;
  for (const Policy policy : kBaselines) {
    const SimResult result = RunPolicy(config, policy);
    std::printf("  %-20s p99 %9.1f ms  p99.9 %9.1f ms\n", PolicyName(policy),
                Quantile(result, 0.99), Quantile(result, 0.999));
    best_p99 = std::min(best_p99, Quantile(result, 0.99));
    best_p999 = std::min(best_p999, Quantile(result, 0.999));
  }
  for (const Policy policy : kProducts) {
    const SimResult result = RunPolicy(config, policy);
    AddRecord(records, MeasureName("slow_server_p99", config, policy), "ms",
              Quantile(result, 0.99), best_p99);
    AddRecord(records, MeasureName("slow_server_p999", config, policy), "ms",
              Quantile(result, 0.999), best_p999);
    std::printf("  failed %llu of %llu, hedges %llu, probes %.2f/s\n",
                static_cast<unsigned long long>(result.failed),
                static_cast<unsigned long long>(result.requests),
                static_cast<unsigned long long>(result.hedges),
                result.probes_per_server_s);
  }
}

void MeasureDataCentre(const SimConfig& base, Json& records) {
  SimConfig config = base;
  config.load = 0.6;
  config.data_centre_taken_out = true;
  double best = 1e9;
  for (const Policy policy : kBaselines) {
    const SimResult result = RunPolicy(config, policy);
    best = std::min(best,
                    1000.0 * (result.failed + result.late) / result.requests);
  }
  for (const Policy policy : kProducts) {
    const SimResult result = RunPolicy(config, policy);
    AddRecord(records,
              MeasureName("data_centre_failed_or_late", config, policy),
              "per 1000",
              1000.0 * (result.failed + result.late) / result.requests, best);
  }
}

void MeasureAccounts(const SimConfig& base, Json& records) {
  SimConfig config = base;
  for (const Policy policy : kProducts) {
    config.first_account_factor = 1;
    const double normal_p99 = WorstAccountP99(RunPolicy(config, policy));
    config.first_account_factor = 5;
    const double overload_p99 = WorstAccountP99(RunPolicy(config, policy));
    AddRecord(records, MeasureName("worst_account_p99_at_5x", config, policy),
              "ms", overload_p99, normal_p99);
  }
}

void MeasureProbes(const SimConfig& config, Json& records) {
  const SimResult result = RunPolicy(config, Policy::kProduct);
  AddRecord(records, MeasureName("probes_per_server", config, Policy::kProduct),
            "per s", result.probes_per_server_s, Service().probe_budget_per_s);
}

void MeasureAll(const SimConfig& config, Json& records) {
  MeasureSlowServer(config, records);
  MeasureDataCentre(config, records);
  MeasureAccounts(config, records);
  MeasureProbes(config, records);
}

int Main(int argc, char** argv) {
  TCLAP::CmdLine command(
      "Measures the choice of backend servers in a discrete-event simulation.",
      ' ', MANGODOOR_VERSION);
  TCLAP::ValueArg<std::string> json(
      "", "json", "JSON file to append records to", false, "", "file", command);
  TCLAP::ValueArg<unsigned> seed("", "seed", "Seed of the random numbers",
                                 false, 1, "n", command);
  command.parse(argc, argv);
  Json records = Json::array();
  if (std::ifstream old(json.getValue()); old)
    records = Json::parse(old);
  std::printf("%-58s %-9s %10s %10s %8s\n", "measure", "unit", "product",
              "baseline", "ratio");
  for (const int servers : {8, 10, 14}) {
    SimConfig config;
    config.seed = seed.getValue();
    config.servers = servers;
    config.log_normal = servers == 14;
    MeasureAll(config, records);
  }
  if (!json.getValue().empty())
    std::ofstream(json.getValue()) << records.dump(2) << "\n";
  return 0;
}

}  // namespace
}  // namespace mangodoor::bench

int main(int argc, char** argv) {
  try {
    return mangodoor::bench::Main(argc, argv);
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 1;
  }
}
