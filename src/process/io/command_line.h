#ifndef PROCESS_IO_COMMAND_LINE_H_
#define PROCESS_IO_COMMAND_LINE_H_

#include <tclap/CmdLine.h>

#include <optional>

namespace mangodoor {

/**
 * Exit codes that several programs share. The --help text of each program says
 * when it uses them.
 */
enum ExitCode {
  kExitSuccess = 0,
  kExitFailure = 1,
  kExitUsageError = 2,
  /** An instance cannot be reached, or a file cannot be read. */
  kExitUnavailable = 3,
};

/**
 * Parses the arguments. Returns an exit code if the program has to end: after
 * --help, --version or a usage error, which is printed to standard error.
 */
std::optional<int> ParseArguments(TCLAP::CmdLine& command,
                                  int argc,
                                  const char* const* argv);

}  // namespace mangodoor

#endif  // PROCESS_IO_COMMAND_LINE_H_
