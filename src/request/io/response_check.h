#ifndef REQUEST_IO_RESPONSE_CHECK_H_
#define REQUEST_IO_RESPONSE_CHECK_H_

#include <optional>
#include <string_view>

#include "connection/response_fault.h"
#include "request/http_profile.h"
#include "request/io/message_head.h"
#include "request/response_owner.h"

namespace mangodoor {

/** Id of the request that a response belongs to; unset if it has none. */
std::optional<std::string_view> RequestIdOf(const ResponseHeader& header,
                                            const HttpProfile& http_profile);

/** The fault of a response that does not belong to the running request. */
ResponseFault FaultOf(ResponseOwner::Kind kind);

/** The reason why nothing can be concluded from a head, if any. */
std::optional<ResponseFault> FaultOfHead(const ResponseHeader& header,
                                         const HttpProfile& http_profile);

/**
 * The reason why a well-formed response must not be forwarded, if any.
 * `idempotent` tells whether its request may be repeated.
 */
std::optional<ResponseFault> FaultOfResponse(const ResponseHeader& header,
                                             const HttpProfile& http_profile,
                                             bool idempotent);

/** True if the server states that it did not run the request. */
bool StatesNotRun(const ResponseHeader& header,
                  const HttpProfile& http_profile);

}  // namespace mangodoor

#endif  // REQUEST_IO_RESPONSE_CHECK_H_
