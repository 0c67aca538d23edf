#ifndef CONNECTION_TIME_LIMITS_H_
#define CONNECTION_TIME_LIMITS_H_

#include <chrono>

#include "process/clock.h"

namespace mangodoor {

/** Time limits of a caller's connection. Tests shorten them. */
struct TimeLimits {
  /** From the first byte of a request to the end of its header. */
  Duration header = std::chrono::seconds(5);
  /** Longest time without a byte of a body, in either direction. */
  Duration body_progress = std::chrono::seconds(10);
  /** Longest time between two requests of a connection. */
  Duration idle = std::chrono::seconds(60);
  /** Time for a caller to read an error answer before the connection ends. */
  Duration linger = std::chrono::seconds(1);
};

/** Limits of the connections to backend servers. */
struct BackendConnectionLimits {
  /** Connections that are opened at once to one backend server. */
  int parallel_opens = 4;
  Duration connect = std::chrono::seconds(1);
  /** An idle connection is closed after this time. */
  Duration idle = std::chrono::seconds(30);
};

}  // namespace mangodoor

#endif  // CONNECTION_TIME_LIMITS_H_
