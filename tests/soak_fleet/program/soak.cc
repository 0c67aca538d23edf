#include <tclap/CmdLine.h>

#include <iostream>

#include "soak_fleet/soak_run.h"

namespace {

/** Runs one seed and prints the result. Returns true without violations. */
bool RunSeed(uint64_t seed, const mangodoor::SoakSize& size) {
  std::cout << "seed " << seed << ":" << std::flush;
  mangodoor::SoakRun run(seed, size);
  const std::vector<std::string> violations = run.Run();
  std::cout << " " << run.summary() << "; " << violations.size() << " broken\n";
  for (const std::string& line : violations)
    std::cout << "  " << line << "\n";
  if (!violations.empty()) {
    for (const mangodoor::SoakFault& fault : PlanSoak(seed, size))
      std::cout << "  " << Describe(fault) << "\n";
  }
  return violations.empty();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command(
        "Injects random faults into a fleet of real processes and checks what "
        "callers and servers see. Exit codes: 0 no violations, 1 a guarantee "
        "was violated, 2 usage error.",
        ' ', MANGODOOR_VERSION);
    TCLAP::ValueArg<uint64_t> seed("s", "seed", "First seed", false, 1,
                                   "number", command);
    TCLAP::ValueArg<int> seeds("n", "seeds", "Number of consecutive seeds",
                               false, 1, "count", command);
    TCLAP::ValueArg<int> length("l", "length", "Length of the run of a seed",
                                false, 20, "s", command);
    TCLAP::ValueArg<int> instances("i", "instances", "Instances", false, 6,
                                   "count", command);
    TCLAP::ValueArg<int> servers("b", "servers", "Backend servers in each zone",
                                 false, 3, "count", command);
    TCLAP::ValueArg<int> callers("c", "callers", "Callers", false, 12, "count",
                                 command);
    TCLAP::SwitchArg unavailable_after_run(
        "u", "unavailable-after-run",
        "Servers also respond with 503 to requests that ran", command);
    command.parse(argc, argv);
    mangodoor::SoakSize size;
    size.length = std::chrono::seconds(length.getValue());
    size.instances = instances.getValue();
    size.servers_per_zone = servers.getValue();
    size.callers = callers.getValue();
    size.unavailable_after_run = unavailable_after_run.getValue();
    int broken = 0;
    for (int i = 0; i < seeds.getValue(); ++i)
      broken +=
          RunSeed(seed.getValue() + static_cast<uint64_t>(i), size) ? 0 : 1;
    std::cout << broken << " of " << seeds.getValue() << " seeds broken\n";
    return broken == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 2;
  }
}
