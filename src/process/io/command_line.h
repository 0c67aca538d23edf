#ifndef PROCESS_IO_COMMAND_LINE_H_
#define PROCESS_IO_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <optional>

namespace mangodoor {

/** Exit codes that all programs share; docs/operators.md lists the others. */
enum ExitCode {
  kExitSuccess = 0,
  kExitFailure = 1,
  kExitUsageError = 2,
  kExitUnreachable = 3,
};

/**
 * Parses the arguments. Returns an exit code if the program is to end: after
 * --help, --version or a wrong use, which is explained on standard error.
 */
std::optional<int> ParseArguments(TCLAP::CmdLine& command,
                                  int argc,
                                  const char* const* argv);

}  // namespace mangodoor

#endif  // PROCESS_IO_COMMAND_LINE_H_
