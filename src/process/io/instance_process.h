#ifndef PROCESS_IO_INSTANCE_PROCESS_H_
#define PROCESS_IO_INSTANCE_PROCESS_H_

namespace mangodoor {

struct Settings;

/**
 * Runs an instance until a planned stop (SIGTERM or SIGINT) has finished. A
 * second signal ends it at once. Returns the exit status. Throws if it cannot
 * listen.
 */
int RunInstance(const Settings& settings);

}  // namespace mangodoor

#endif  // PROCESS_IO_INSTANCE_PROCESS_H_
