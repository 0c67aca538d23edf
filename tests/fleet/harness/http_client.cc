#include "fleet/harness/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace mangodoor {

namespace beast = boost::beast;
namespace http = beast::http;
using Response = http::response<http::string_body>;

namespace {

std::string Field(const Response& response, const char* name) {
  const auto value = response[name];
  return {value.data(), value.size()};
}

ClientResponse ToClientResponse(Response received) {
  ClientResponse response;
  response.status = static_cast<int>(received.result_int());
  response.error = Field(received, "Mangodoor-Error");
  response.outcome = Field(received, "Mangodoor-Outcome");
  response.closes = !received.keep_alive();
  response.body = std::move(received.body());
  return response;
}

http::request<http::string_body> ToHttpRequest(const ClientRequest& request) {
  http::request<http::string_body> message;
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, "test");
  for (const auto& [name, value] : request.fields)
    message.set(name, value);
  message.body() = request.body;
  if (!request.body.empty() || request.method != "GET")
    message.prepare_payload();
  return message;
}

}  // namespace

// Timeouts of a Beast stream work only for asynchronous operations, so each
// step runs the context until its handler has been called.
struct HttpConnection::Impl {
  boost::asio::io_context context;
  beast::tcp_stream stream{context};
  beast::flat_buffer buffer;
  bool connected = false;
  Endpoint endpoint;

  template <typename Start>
  bool RunUntilDone(Start start) {
    bool ok = false;
    start([&ok](boost::system::error_code error, auto...) { ok = !error; });
    context.restart();
    context.run();
    return ok;
  }

  bool Connect() {
    const boost::asio::ip::tcp::endpoint target(
        boost::asio::ip::make_address(endpoint.address), endpoint.port);
    connected = RunUntilDone(
        [&](auto handler) { stream.async_connect(target, handler); });
    return connected;
  }
};

HttpConnection::HttpConnection(const Endpoint& endpoint)
    : impl_(std::make_unique<Impl>()) {
  impl_->endpoint = endpoint;
}

HttpConnection::~HttpConnection() = default;

ClientResponse HttpConnection::Call(const ClientRequest& request,
                                    std::chrono::milliseconds timeout) {
  impl_->stream.expires_after(timeout);
  if (!impl_->connected && !impl_->Connect())
    return {};
  auto message = ToHttpRequest(request);
  if (!impl_->RunUntilDone([&](auto handler) {
        http::async_write(impl_->stream, message, handler);
      }))
    return {};
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  if (request.method == "HEAD")
    parser.skip(true);
  if (!impl_->RunUntilDone([&](auto handler) {
        http::async_read(impl_->stream, impl_->buffer, parser, handler);
      }))
    return {};
  return ToClientResponse(parser.release());
}

ClientResponse CallOnce(const Endpoint& endpoint,
                        const ClientRequest& request,
                        std::chrono::milliseconds timeout) {
  return HttpConnection(endpoint).Call(request, timeout);
}

}  // namespace mangodoor
