#ifndef PROCESS_IO_HTTP_GET_H_
#define PROCESS_IO_HTTP_GET_H_

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <string>

#include "version/endpoint.h"

namespace mangodoor {

using HttpRequest = boost::beast::http::request<boost::beast::http::empty_body>;
using HttpResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/** The result of a request. `error` is empty if there is a response. */
struct HttpResult {
  std::string error;
  HttpResponse response;
};

/** Builds an HTTP/1.1 GET request for `target` at `endpoint`, for SendGet(). */
HttpRequest MakeGet(const Endpoint& endpoint, const std::string& target);

/**
 * Sends `request` on a new connection and calls `done` once, on a thread of
 * `context`. A response body of more than 2 MiB is an error.
 */
void SendGet(boost::asio::io_context& context,
             const Endpoint& endpoint,
             HttpRequest request,
             std::chrono::milliseconds timeout,
             std::function<void(HttpResult)> done);

}  // namespace mangodoor

#endif  // PROCESS_IO_HTTP_GET_H_
