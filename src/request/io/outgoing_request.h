#ifndef REQUEST_IO_OUTGOING_REQUEST_H_
#define REQUEST_IO_OUTGOING_REQUEST_H_

#include <functional>
#include <string>

#include "process/clock.h"
#include "request/attempt.h"
#include "request/authorisation.h"
#include "version/version.h"

namespace mangodoor {

/** A request in the form that every attempt sends, and its authorisation. */
struct OutgoingRequest {
  /** The configuration version that the request was authorised by. */
  VersionPtr version;
  Authorisation authorisation;
  /** The route's service, or the one that was picked from its split. */
  ServiceId service;
  std::string host;
  std::string path;
  std::string key_digest;
  /** The id that the caller gave; empty if it gave none. */
  std::string id;
  TimePoint deadline;
  /** When the route's target latency is reached; max() if it has none. */
  TimePoint target_at = TimePoint::max();
  int priority = 0;
  RequestTraits traits;
  bool is_head = false;
  /** The head without the empty line and the fields that each attempt adds. */
  std::string head;
  /** The encoded start of the body; all of it if `body_complete`. */
  std::string body;
  bool body_complete = true;
  /** Returns whether the caller has hung up. Called just before sending. */
  std::function<bool()> caller_gone = [] { return false; };
};

}  // namespace mangodoor

#endif  // REQUEST_IO_OUTGOING_REQUEST_H_
