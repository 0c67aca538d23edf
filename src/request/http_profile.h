#ifndef REQUEST_HTTP_PROFILE_H_
#define REQUEST_HTTP_PROFILE_H_

#include <string>

#include "request/load_metrics.h"

namespace mangodoor {

/**
 * Names of header fields and options of one HTTP interface to callers and
 * backend servers. An empty name means that the interface does not have the
 * field.
 */
struct HttpProfile {
  /** Prefix of the key in Authorization, including the space. */
  std::string key_scheme = "Bearer ";
  /** Another field that can contain the key. */
  std::string key_field = "X-Api-Key";
  /** Milliseconds that the sender waits for the response. */
  std::string time_limit = "X-Request-Timeout-Ms";
  /** Contains the id of the client account, for the backend server. */
  std::string client_account;
  /** Contains the id of the only backend server that may run the request. */
  std::string expected_server;
  /** In a response: the backend server did not run the request. */
  std::string not_run = "X-Not-Run";
  /** In a response: the load of the backend server, parsed by `parse_load`. */
  std::string load = "endpoint-load-metrics";
  LoadMetrics (*parse_load)(std::string_view) = ParseLoadMetrics;
  /** In the response to a probe: the id of the backend server. */
  std::string server_id;
  /** In the response to a probe: milliseconds that the server stays cold. */
  std::string cold_time;
  /** Id of a request, repeated in its response. */
  std::string request_id;
  /**
   * Set in every response by the application that runs on the backend server.
   * A successful response without it is not from that application and counts as
   * broken.
   */
  std::string signature;
  /** True if a response with a content encoding counts as broken. */
  bool rejects_encoded_responses = false;
  /**
   * True if a response is buffered until it is complete or the buffer is full,
   * so that the request can be retried elsewhere if the response breaks off.
   */
  bool buffers_responses = false;
  /**
   * True if callers take the statuses 408, 421, 429 and 503 for a statement
   * that the request did not run.
   */
  bool refusals_mean_not_run = false;
  /** True if Forwarded and Via are added to requests, and Via to responses. */
  bool adds_forwarding_fields = true;
  /** Status of the response to a key that belongs to no client account. */
  int key_unknown_status = 403;
  /**
   * Status of errors whose outcome is "not run" and that may be retried, other
   * than kRateExceeded and kRequestTimeout; 0 for the status of the error kind.
   */
  int refusal_status = 0;
};

/** The profile of mangodoor's own interface. */
const HttpProfile& DefaultHttpProfile();

}  // namespace mangodoor

#endif  // REQUEST_HTTP_PROFILE_H_
