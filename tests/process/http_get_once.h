#ifndef TESTS_PROCESS_HTTP_GET_ONCE_H_
#define TESTS_PROCESS_HTTP_GET_ONCE_H_

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <utility>

#include "process/io/http_get.h"

namespace mangodoor {

/** Sends one request with SendGet and waits for its result. */
inline HttpResult GetOnce(const Endpoint& endpoint,
                          std::chrono::milliseconds timeout) {
  boost::asio::io_context context;
  HttpResult result;
  SendGet(context, endpoint, MakeGet(endpoint, "/"), timeout,
          [&result](HttpResult got) { result = std::move(got); });
  context.run();
  return result;
}

}  // namespace mangodoor

#endif  // TESTS_PROCESS_HTTP_GET_ONCE_H_
