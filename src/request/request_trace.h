#ifndef REQUEST_REQUEST_TRACE_H_
#define REQUEST_REQUEST_TRACE_H_

#include <optional>
#include <string>
#include <vector>

#include "connection/response_fault.h"
#include "process/clock.h"
#include "process/error_kind.h"
#include "process/servers/work_model.h"
#include "request/attempt.h"
#include "version/ids.h"

namespace mangodoor {

/** One attempt, for the request log. */
struct AttemptTrace {
  BackendServerId server;
  bool hedge = false;
  /** The data that the choice of the server was based on. */
  PlacementRecord placement;
  /** Time spent waiting for a server to be chosen. */
  Duration waited{};
  /**
   * Time from the choice of the server to the head of its response, or to the
   * end of a response that is buffered, or to the failure of the attempt.
   */
  Duration took{};
  AttemptReport::End end = AttemptReport::End::kConnectionLost;
  /** Requests with an id that its connection had carried before. */
  size_t earlier_requests = 0;
  /** Status of the server's response; 0 if none arrived. */
  int status = 0;
};

/** What happened to one request, for the request log. */
struct RequestTrace {
  std::string id;
  std::string caller;
  std::string host;
  std::string path_prefix;
  ServiceId service;
  ClientAccountId client_account;
  uint64_t version = 0;
  TimePoint began{};
  /**
   * Time from `began` until the client account's rate limit admitted the
   * request.
   */
  Duration admission{};
  /** The deadline and the target latency, counted from `began`. */
  std::optional<Duration> deadline;
  std::optional<Duration> target;
  std::vector<AttemptTrace> attempts;
  ResponseFaults response_faults;
  /** Status of the response to the caller; 0 if there was none. */
  int status = 0;
  /** Set if this instance answered with an error or broke off the response. */
  std::optional<ErrorKind> error;
  Outcome outcome = Outcome::kUnknown;
};

/** Name of `end` in logs: "response", "connection_lost" and so on. */
const char* EndName(AttemptReport::End end);

/**
 * The attempts on one line: "i-1: waited 0.2 ms, took 57.1 ms, response 200;
 * i-2: ...".
 */
std::string Describe(const std::vector<AttemptTrace>& attempts);

}  // namespace mangodoor

#endif  // REQUEST_REQUEST_TRACE_H_
