#include "process/io/blocking_get.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <stdexcept>
#include <utility>

namespace mangodoor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

// Far more than a response needs: at the target size of a deployment, 5,300
// backend servers, the response to /status is below 2 MB, at about 250 bytes
// for each server.
constexpr uint64_t kMaxBodyBytes = 64 * 1024 * 1024;

// Bounds what is read ahead of the parser, and with it the extension of a chunk
// and a trailer, which the parser reads as a whole.
constexpr size_t kMaxBufferedBytes = 64 * 1024;

HttpGetResponse Get(asio::io_context& context,
                    const Endpoint& endpoint,
                    const std::string& target,
                    Duration time_limit,
                    asio::yield_context yield) {
  beast::tcp_stream stream(context);
  stream.expires_after(time_limit);
  stream.async_connect(
      asio::ip::tcp::endpoint(asio::ip::make_address(endpoint.address),
                              endpoint.port),
      yield);
  http::request<http::empty_body> request(http::verb::get, target, 11);
  request.set(http::field::host, ToString(endpoint));
  request.set(http::field::connection, "close");
  http::async_write(stream, request, yield);
  beast::flat_buffer buffer(kMaxBufferedBytes);
  http::response_parser<http::string_body> parser;
  parser.body_limit(kMaxBodyBytes);
  // Reads the header separately: Beast 1.74 loses the error of an exceeded body
  // limit when bytes of the body arrive together with the header.
  http::async_read_header(stream, buffer, parser, yield);
  http::async_read(stream, buffer, parser, yield);
  return {static_cast<int>(parser.get().result_int()),
          std::move(parser.get().body())};
}

}  // namespace

HttpGetResponse BlockingGet(const Endpoint& endpoint,
                            const std::string& target,
                            Duration time_limit) {
  asio::io_context context;
  HttpGetResponse response;
  std::string error_message;
  asio::spawn(context, [&](asio::yield_context yield) {
    try {
      response = Get(context, endpoint, target, time_limit, yield);
    } catch (const boost::system::system_error& error) {
      error_message = error.code().message();
    }
  });
  context.run();
  if (!error_message.empty())
    throw std::runtime_error(ToString(endpoint) + target + ": " +
                             error_message);
  return response;
}

}  // namespace mangodoor
