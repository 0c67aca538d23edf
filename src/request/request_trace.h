#ifndef REQUEST_REQUEST_TRACE_H_
#define REQUEST_REQUEST_TRACE_H_

#include <optional>
#include <string>
#include <vector>

#include "process/clock.h"
#include "process/error_kind.h"
#include "process/servers/work_model.h"
#include "request/attempt.h"
#include "version/ids.h"

namespace mangodoor {

/** One attempt, as an engineer wants to read of it later. */
struct AttemptTrace {
  BackendServerId server;
  bool hedge = false;
  /** What the choice of the server was based on. */
  PlacementRecord placement;
  /** From the wish for a server until one was chosen. */
  Duration waited{};
  /** From the choice until the attempt ended. */
  Duration took{};
  AttemptReport::End end = AttemptReport::End::kConnectionLost;
  /** Status of the server's answer; 0 if none came. */
  int status = 0;
};

/** What became of one request, and why. */
struct RequestTrace {
  std::string id;
  std::string caller;
  std::string host;
  std::string path_prefix;
  ServiceId service;
  ClientAccountId client_account;
  uint64_t version = 0;
  TimePoint began{};
  /** From the start until the rate of the account allowed it. */
  Duration admission{};
  /** Time that the caller gave, and the time for the full value. */
  std::optional<Duration> deadline;
  std::optional<Duration> target;
  std::vector<AttemptTrace> attempts;
  /** Status of the answer to the caller; 0 if there was none. */
  int status = 0;
  /** Set if the answer was made here. */
  std::optional<ErrorKind> error;
  Outcome outcome = Outcome::kUnknown;
};

/** "response", "connection_lost" and so on. */
const char* Name(AttemptReport::End end);

/** The attempts on one line: "i-1 wait 0.2 ms, took 57.1 ms, ...; i-2 ...". */
std::string Describe(const std::vector<AttemptTrace>& attempts);

}  // namespace mangodoor

#endif  // REQUEST_REQUEST_TRACE_H_
