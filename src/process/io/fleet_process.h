#ifndef PROCESS_IO_FLEET_PROCESS_H_
#define PROCESS_IO_FLEET_PROCESS_H_

#include <string>

#include "process/io/platform_interface.h"

namespace mangodoor {

struct Settings;

/**
 * Runs an instance of a fleet that has no instance list, until a planned stop
 * (SIGTERM or SIGINT) has finished. A second SIGTERM or SIGINT ends it at once.
 * SIGHUP reloads the settings from `settings_path`. Returns the exit status.
 * Throws if it cannot listen.
 */
int RunFleetInstance(const Settings& settings,
                     const std::string& settings_path,
                     const PlatformInterface& platform);

}  // namespace mangodoor

#endif  // PROCESS_IO_FLEET_PROCESS_H_
