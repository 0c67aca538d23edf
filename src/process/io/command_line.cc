#include "process/io/command_line.h"

#include <iostream>

namespace mangodoor {

std::optional<int> ParseArguments(TCLAP::CmdLine& command,
                                  int argc,
                                  const char* const* argv) {
  // By default TCLAP ends the process with status 1 on a usage error, but the
  // programs use 1 for faults that they find.
  command.setExceptionHandling(false);
  try {
    command.parse(argc, argv);
    return std::nullopt;
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "error: " << error.error() << " " << error.argId()
              << "; --help lists the arguments\n";
    return kExitUsageError;
  }
}

}  // namespace mangodoor
