#ifndef REQUEST_IO_RESPONSE_RELAY_H_
#define REQUEST_IO_RESPONSE_RELAY_H_

#include <boost/asio/spawn.hpp>
#include <string>

#include "connection/io/caller_stream.h"
#include "connection/io/session_context.h"
#include "connection/io/strand.h"
#include "request/io/backend_attempt.h"

namespace mangodoor {

/** Properties of the response that the caller gets. */
struct RelayOptions {
  bool http_10 = false;
  bool head_only = false;
  bool close = false;
};

enum class RelayEnd {
  /** All of the response was received. */
  kReceived,
  kCallerGone,
  kServerFailed,
};

/**
 * Framing of the body towards the caller, for a response whose head has
 * arrived.
 */
Framing ResponseFraming(ResponseParser& parser,
                        const ResponseHeader& header,
                        const RelayOptions& options);

/**
 * Forwards the response of `attempt` with bounded memory until all of it was
 * received. The caller is then owed what is left in `rest`. There is no time
 * limit on the server: aborting the attempt ends the wait for it.
 */
RelayEnd RelayResponse(BackendAttempt& attempt,
                       CallerStream& caller,
                       const SessionContext& context,
                       const RelayOptions& options,
                       std::string& rest,
                       YieldContext yield);

}  // namespace mangodoor

#endif  // REQUEST_IO_RESPONSE_RELAY_H_
