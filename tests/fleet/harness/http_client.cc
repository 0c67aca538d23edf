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

HttpReply ToReply(Response response) {
  HttpReply reply;
  reply.status = static_cast<int>(response.result_int());
  reply.error = Field(response, "Mangodoor-Error");
  reply.outcome = Field(response, "Mangodoor-Outcome");
  reply.closes = !response.keep_alive();
  reply.body = std::move(response.body());
  return reply;
}

http::request<http::string_body> ToRequest(const HttpCall& call) {
  http::request<http::string_body> request;
  request.method_string(call.method);
  request.target(call.target);
  request.set(http::field::host, "test");
  for (const auto& [name, value] : call.fields)
    request.set(name, value);
  request.body() = call.body;
  if (!call.body.empty() || call.method != "GET")
    request.prepare_payload();
  return request;
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

HttpReply HttpConnection::Call(const HttpCall& call,
                               std::chrono::milliseconds timeout) {
  impl_->stream.expires_after(timeout);
  if (!impl_->connected && !impl_->Connect())
    return {};
  auto request = ToRequest(call);
  if (!impl_->RunUntilDone([&](auto handler) {
        http::async_write(impl_->stream, request, handler);
      }))
    return {};
  http::response_parser<http::string_body> parser;
  parser.body_limit(boost::none);
  if (call.method == "HEAD")
    parser.skip(true);
  if (!impl_->RunUntilDone([&](auto handler) {
        http::async_read(impl_->stream, impl_->buffer, parser, handler);
      }))
    return {};
  return ToReply(parser.release());
}

HttpReply CallOnce(const Endpoint& endpoint,
                   const HttpCall& call,
                   std::chrono::milliseconds timeout) {
  return HttpConnection(endpoint).Call(call, timeout);
}

}  // namespace mangodoor
