#ifndef REQUEST_IO_OUTGOING_REQUEST_H_
#define REQUEST_IO_OUTGOING_REQUEST_H_

#include <functional>
#include <string>

#include "process/clock.h"
#include "request/attempt.h"
#include "request/authorisation.h"
#include "version/version.h"

namespace mangodoor {

/** A request as every attempt sends it, and what it was allowed by. */
struct OutgoingRequest {
  /** The version that allowed the request. */
  VersionPtr version;
  Authorisation authorisation;
  /** The service of the route, or the part of it that was picked. */
  ServiceId service;
  std::string host;
  std::string path;
  std::string key_digest;
  /** Empty if the interface has none. */
  std::string id;
  TimePoint deadline;
  /** An answer by then has its full value. */
  TimePoint target_at = TimePoint::max();
  int priority = 0;
  RequestTraits traits;
  bool is_head = false;
  /** The head without the time limit and the empty line. */
  std::string head;
  /** The encoded start of the body; all of it if `body_whole`. */
  std::string body;
  bool body_whole = true;
  /** Says whether the caller has left, asked just before a send. */
  std::function<bool()> caller_left = [] { return false; };
};

}  // namespace mangodoor

#endif  // REQUEST_IO_OUTGOING_REQUEST_H_
