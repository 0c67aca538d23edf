#ifndef CONNECTION_IO_SESSION_CONTEXT_H_
#define CONNECTION_IO_SESSION_CONTEXT_H_

#include "connection/time_limits.h"
#include "process/random_value.h"
#include "request/http_profile.h"

namespace mangodoor {

class ActionRunner;
class BackendConnectionPool;
class Clock;
class RequestLog;
class TokenSource;
struct RetryTable;
struct Tables;

/** The tables and services of the process that a caller's connection uses. */
struct SessionContext {
  Tables& tables;
  const Clock& clock;
  ActionRunner& actions;
  BackendConnectionPool& pool;
  RetryTable& retry_table;
  TimeLimits limits{};
  const HttpProfile& http_profile = DefaultHttpProfile();
  /** Null if requests are not logged. */
  RequestLog* request_log = nullptr;
  /** Null if the process cannot request tokens from a leader. */
  TokenSource* token_source = nullptr;
  /**
   * Returns a value uniform over all 64-bit values. Can be called on any
   * thread.
   */
  uint64_t (*random)() = RandomValue;
};

}  // namespace mangodoor

#endif  // CONNECTION_IO_SESSION_CONTEXT_H_
