#ifndef PROCESS_IO_EARLY_SIGNALS_H_
#define PROCESS_IO_EARLY_SIGNALS_H_

namespace mangodoor {

/**
 * Keeps SIGTERM, SIGINT and SIGHUP pending for this thread, and for those that
 * it starts from now on. Called first in main().
 */
void HoldSignals();

/**
 * Undoes HoldSignals. Called once the handlers of these signals are installed,
 * which then receive what is pending.
 */
void ReleaseSignals();

}  // namespace mangodoor

#endif  // PROCESS_IO_EARLY_SIGNALS_H_
