#ifndef REQUEST_HTTP_PROFILE_H_
#define REQUEST_HTTP_PROFILE_H_

#include <string>

#include "request/load_metrics.h"

namespace mangodoor {

/**
 * The names of header fields towards callers and backend servers, and what
 * else differs between the interfaces that mangodoor speaks. An empty name
 * stands for a field that the interface does not have.
 */
struct HttpProfile {
  /** What comes before the key in Authorization, with the blank. */
  std::string key_scheme = "Bearer ";
  /** Another field for the key. */
  std::string key_field = "X-Api-Key";
  /** Milliseconds that the sender waits for the answer. */
  std::string time_limit = "X-Request-Timeout-Ms";
  /** Names the client account to the server. */
  std::string client_account;
  /** Names the server that alone may run the request. */
  std::string expected_server;
  /** On an answer: the server did not run the request. */
  std::string not_run = "X-Not-Run";
  /** On an answer: the load of the server, read by `parse_load`. */
  std::string load = "endpoint-load-metrics";
  LoadMetrics (*parse_load)(std::string_view) = ParseLoadMetrics;
  /** On the answer to a probe: the id of the server. */
  std::string server_id;
  /** On the answer to a probe: milliseconds that the server stays cold. */
  std::string cold_time;
  /** On a request, and repeated on its answer. */
  std::string request_id;
  /** On every answer that a server's program made. */
  std::string signature;
  /** An answer with a content encoding is a broken one. */
  bool encoded_answer_is_broken = false;
  /**
   * An answer is held until it is whole, as far as it fits into a buffer, so
   * that another server can be asked if it breaks off.
   */
  bool holds_answers = false;
  /** Adds Forwarded and Via. */
  bool adds_trace_fields = true;
  /** Status for a key that no client account has. */
  int key_unknown_status = 403;
  /**
   * Status for every error that says "not run" and may be retried, other than
   * an exceeded rate; 0 for the status of the error kind.
   */
  int refusal_status = 0;
};

/** The names of mangodoor's own interface. */
const HttpProfile& DefaultHttpProfile();

}  // namespace mangodoor

#endif  // REQUEST_HTTP_PROFILE_H_
