#ifndef CONNECTION_TIME_LIMITS_H_
#define CONNECTION_TIME_LIMITS_H_

#include <chrono>

#include "process/clock.h"

namespace mangodoor {

/** Time limits of a caller's connection. Tests shorten them. */
struct TimeLimits {
  /** Longest time from the first byte of a request to the end of its header. */
  Duration header = std::chrono::seconds(5);
  /** Longest time in which a body makes no progress, in either direction. */
  Duration body_progress = std::chrono::seconds(10);
  /** Longest time without a request on an open connection. */
  Duration idle = std::chrono::seconds(60);
  /**
   * Time after the last response in which the caller can read it and close the
   * connection, before this side closes it.
   */
  Duration linger = std::chrono::seconds(1);
};

/** Limits of the connections to backend servers. */
struct BackendConnectionLimits {
  /** Connections to one backend server that may be opened in parallel. */
  int parallel_opens = 4;
  /** Time limit for opening a connection. */
  Duration connect = std::chrono::seconds(1);
  /** An idle connection is closed after this time. */
  Duration idle = std::chrono::seconds(30);
};

}  // namespace mangodoor

#endif  // CONNECTION_TIME_LIMITS_H_
