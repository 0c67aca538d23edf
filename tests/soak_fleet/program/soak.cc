#include <tclap/CmdLine.h>

#include <iostream>

#include "soak_fleet/soak_run.h"

namespace {

/** Runs one seed and prints the result; true if no promise was broken. */
bool PlaySeed(uint64_t seed, const mangodoor::SoakSize& size) {
  std::cout << "seed " << seed << ":" << std::flush;
  mangodoor::SoakRun run(seed, size);
  const std::vector<std::string> broken = run.Play();
  std::cout << " " << run.summary() << "; " << broken.size() << " broken\n";
  for (const std::string& line : broken)
    std::cout << "  " << line << "\n";
  if (!broken.empty()) {
    for (const mangodoor::SoakFault& fault : PlanSoak(seed, size))
      std::cout << "  " << Describe(fault) << "\n";
  }
  return broken.empty();
}

}  // namespace

int main(int argc, char** argv) {
  try {
    TCLAP::CmdLine command(
        "Plays random faults on a fleet of real processes and checks what "
        "callers and servers see. Exit codes: 0 nothing broken, 1 a promise "
        "was broken, 2 usage error.",
        ' ', MANGODOOR_VERSION);
    TCLAP::ValueArg<uint64_t> seed("s", "seed", "First seed", false, 1,
                                   "number", command);
    TCLAP::ValueArg<int> seeds("n", "seeds", "Number of consecutive seeds",
                               false, 1, "count", command);
    TCLAP::ValueArg<int> length("l", "length",
                                "Duration of the faults per seed", false, 20,
                                "s", command);
    TCLAP::ValueArg<int> instances("i", "instances", "Instances", false, 6,
                                   "count", command);
    TCLAP::ValueArg<int> servers("b", "servers", "Backend servers in each zone",
                                 false, 3, "count", command);
    TCLAP::ValueArg<int> callers("c", "callers", "Callers", false, 12, "count",
                                 command);
    command.parse(argc, argv);
    mangodoor::SoakSize size;
    size.length = std::chrono::seconds(length.getValue());
    size.instances = instances.getValue();
    size.servers_per_zone = servers.getValue();
    size.callers = callers.getValue();
    int broken = 0;
    for (int i = 0; i < seeds.getValue(); ++i)
      broken +=
          PlaySeed(seed.getValue() + static_cast<uint64_t>(i), size) ? 0 : 1;
    std::cout << broken << " of " << seeds.getValue() << " seeds broken\n";
    return broken == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return 2;
  }
}
