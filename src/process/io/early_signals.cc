#include "process/io/early_signals.h"

#include <signal.h>

#include <initializer_list>

namespace mangodoor {
namespace {

sigset_t HandledSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  for (const int signal : {SIGTERM, SIGINT, SIGHUP})
    sigaddset(&signals, signal);
  return signals;
}

}  // namespace

// A signal without a handler ends the process. A platform that changes the
// settings or stops the process right after its start means neither.
void HoldSignals() {
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
}

void ReleaseSignals() {
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

}  // namespace mangodoor
