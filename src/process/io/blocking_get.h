#ifndef PROCESS_IO_BLOCKING_GET_H_
#define PROCESS_IO_BLOCKING_GET_H_

#include <string>

#include "process/clock.h"
#include "version/endpoint.h"

namespace mangodoor {

/** The response to a GET request, whatever its status. */
struct HttpGetResponse {
  int http_status = 0;
  std::string body;
};

/**
 * Sends a GET request and waits for the response, at most for `time_limit`.
 * Blocks, so it must not run on the worker pool. Throws std::runtime_error if
 * there is no response.
 */
HttpGetResponse BlockingGet(const Endpoint& endpoint,
                            const std::string& target,
                            Duration time_limit);

}  // namespace mangodoor

#endif  // PROCESS_IO_BLOCKING_GET_H_
