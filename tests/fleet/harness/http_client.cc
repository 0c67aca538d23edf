#include "fleet/harness/http_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "request/status_code.h"

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
  for (const auto& field : received)
    response.fields[std::string(field.name_string())] =
        std::string(field.value());
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
  if (request.chunked)
    message.chunked(true);
  else if (!request.body.empty() || request.method != "GET")
    message.prepare_payload();
  return message;
}

// Reading stops at this many bytes; what follows them is not needed.
constexpr size_t kMaxUnexpectedBytes = 65536;

/** True if `error` means that the bytes are not a response. */
bool IsMalformed(boost::system::error_code error) {
  return error.category() ==
             make_error_code(http::error::bad_version).category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message &&
         error != http::error::body_limit;
}

ClientResponse NoResponse(const std::string& malformed) {
  ClientResponse none;
  none.malformed = malformed;
  return none;
}

}  // namespace

// Timeouts of a Beast stream work only for asynchronous operations, so each
// step runs the context until its handler has been called.
struct HttpConnection::Impl {
  boost::asio::io_context context;
  beast::tcp_stream stream{context};
  beast::flat_buffer buffer;
  bool connected = false;
  boost::system::error_code last_error;
  Endpoint endpoint;

  template <typename Start>
  bool RunUntilDone(Start start) {
    last_error = {};
    start([this](boost::system::error_code error, auto...) {
      last_error = error;
    });
    context.restart();
    context.run();
    return !last_error;
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
  // An answer may have come before the request could be written.
  const bool written = impl_->RunUntilDone([&](auto handler) {
    http::async_write(impl_->stream, message, handler);
  });
  http::response_parser<http::string_body> parser;
  parser.body_limit(request.max_response_body);
  if (request.method == "HEAD")
    parser.skip(true);
  // Reads the header separately: Beast 1.74 loses the error of an exceeded body
  // limit when bytes of the body arrive together with the header.
  const auto read_header = [&](auto handler) {
    http::async_read_header(impl_->stream, impl_->buffer, parser, handler);
  };
  const auto read_body = [&](auto handler) {
    http::async_read(impl_->stream, impl_->buffer, parser, handler);
  };
  if (!impl_->RunUntilDone(read_header) || !impl_->RunUntilDone(read_body)) {
    return NoResponse(
        IsMalformed(impl_->last_error) ? impl_->last_error.message() : "");
  }
  if (!IsFinalStatus(parser.get().result_int()))
    return NoResponse("status " + std::to_string(parser.get().result_int()));
  // A write that was told of a reset leaves an end of file to the read.
  if (!written && parser.need_eof())
    return {};
  return ToClientResponse(parser.release());
}

UnexpectedBytes HttpConnection::ReadUnexpected() {
  if (!impl_->connected)
    return {"", true};
  auto& socket = impl_->stream.socket();
  boost::system::error_code error;
  socket.non_blocking(true, error);
  while (!error && impl_->buffer.size() < kMaxUnexpectedBytes)
    impl_->buffer.commit(
        socket.read_some(impl_->buffer.prepare(kMaxUnexpectedBytes), error));
  const bool closed = error && error != boost::asio::error::would_block;
  return {beast::buffers_to_string(impl_->buffer.cdata()), closed};
}

UnexpectedBytes HttpConnection::ReadUnexpectedUntilClose(
    std::chrono::milliseconds timeout) {
  if (!impl_->connected)
    return {"", true};
  impl_->stream.expires_after(timeout);
  size_t size = 0;
  const auto read_some = [&](auto handler) {
    impl_->stream.async_read_some(
        impl_->buffer.prepare(kMaxUnexpectedBytes),
        [&size, handler](boost::system::error_code error, size_t read) mutable {
          size = read;
          handler(error);
        });
  };
  while (impl_->buffer.size() < kMaxUnexpectedBytes &&
         impl_->RunUntilDone(read_some))
    impl_->buffer.commit(size);
  const bool closed = impl_->last_error != beast::error::timeout;
  return {beast::buffers_to_string(impl_->buffer.cdata()), closed};
}

ClientResponse CallOnce(const Endpoint& endpoint,
                        const ClientRequest& request,
                        std::chrono::milliseconds timeout) {
  return HttpConnection(endpoint).Call(request, timeout);
}

}  // namespace mangodoor
