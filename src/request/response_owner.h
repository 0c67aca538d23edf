#ifndef REQUEST_RESPONSE_OWNER_H_
#define REQUEST_RESPONSE_OWNER_H_

#include <optional>
#include <string_view>

#include "connection/sent_requests.h"

namespace mangodoor {

/** The request that a response on a connection belongs to. */
struct ResponseOwner {
  enum class Kind {
    kThisRequest,
    /** An earlier request of the same connection. */
    kEarlierRequest,
    /** The response has no request id although its request has one. */
    kNotStated,
    /** A request that was not sent on the connection. */
    kOtherRequest,
  };
  Kind kind = Kind::kOtherRequest;
  /** True if the owner is a HEAD request, whose response has no body. */
  bool is_head = false;
};

/** The request that waits for a response on a connection. */
struct RunningRequest {
  /** Empty if the caller gave none or the interface has no ids. */
  std::string_view id;
  bool is_head = false;
};

/**
 * Decides whose response has arrived. `response_id` is unset if it has no id;
 * `sent` are the requests sent on its connection so far.
 */
ResponseOwner OwnerOf(std::optional<std::string_view> response_id,
                      const RunningRequest& request,
                      const SentRequests& sent);

}  // namespace mangodoor

#endif  // REQUEST_RESPONSE_OWNER_H_
