#include <tclap/CmdLine.h>

#include <iostream>

#include "process/io/early_signals.h"
#include "process/io/instance_process.h"
#include "process/io/log.h"
#include "process/io/settings.h"

namespace {

// Explained in the --help text below.
constexpr int kExitFailure = 1;
constexpr int kExitUsageError = 2;

}  // namespace

int main(int argc, char** argv) {
  mangodoor::HoldSignals();
  try {
    TCLAP::CmdLine command(
        "Accepts requests and routes them to backend servers.\n"
        "Exit status: 0 after a planned stop or a good --check-only, 1 if the "
        "settings are faulty or an endpoint cannot be listened on, 2 on wrong "
        "use.",
        ' ', MANGODOOR_VERSION);
    command.setExceptionHandling(false);
    TCLAP::ValueArg<std::string> settings_path(
        "s", "settings", "Settings file (JSON with comments)", true, "", "file",
        command);
    TCLAP::SwitchArg check_only("c", "check-only",
                                "Check the settings and exit", command);
    command.parse(argc, argv);
    const mangodoor::Settings settings =
        mangodoor::LoadSettings(settings_path.getValue());
    if (check_only.getValue())
      return 0;
    mangodoor::ConfigureLog(settings.log_level);
    return mangodoor::RunInstance(settings);
  } catch (const TCLAP::ExitException& exit) {
    return exit.getExitStatus();
  } catch (const TCLAP::ArgException& error) {
    std::cerr << "error: " << error.error() << " " << error.argId() << "\n";
    return kExitUsageError;
  } catch (const std::exception& error) {
    std::cerr << "error: " << error.what() << "\n";
    return kExitFailure;
  }
}
