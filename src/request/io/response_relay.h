#ifndef REQUEST_IO_RESPONSE_RELAY_H_
#define REQUEST_IO_RESPONSE_RELAY_H_

#include <boost/asio/spawn.hpp>

#include "connection/io/caller_stream.h"
#include "connection/io/session_context.h"
#include "connection/io/strand.h"
#include "request/io/backend_attempt.h"

namespace mangodoor {

/** How the caller gets a response. */
struct RelayOptions {
  bool http_10 = false;
  bool head_only = false;
  bool close = false;
};

enum class RelayEnd { kWhole, kCallerLost, kServerBroke };

/** Framing towards the caller of the response whose head has arrived. */
Framing ResponseFraming(ResponseParser& parser,
                        const ResponseHeader& header,
                        const RelayOptions& options);

/** Passes on the response of `attempt`, with bounded memory. */
RelayEnd RelayResponse(BackendAttempt& attempt,
                       CallerStream& caller,
                       const SessionContext& context,
                       const RelayOptions& options,
                       YieldContext yield);

}  // namespace mangodoor

#endif  // REQUEST_IO_RESPONSE_RELAY_H_
