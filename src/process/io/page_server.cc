#include "process/io/page_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <list>
#include <string>
#include <utility>

namespace mangodoor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using Strand = asio::strand<asio::io_context::executor_type>;
using Response = http::response<http::string_body>;

namespace {

constexpr uint32_t kMaxHeaderBytes = 8 * 1024;
// accept() fails immediately while the process has no free file descriptor, so
// without a pause the accept loop would spin.
constexpr std::chrono::milliseconds kAcceptPause{100};

Response ResponseFor(const http::request<http::empty_body>& request,
                     const std::string& client,
                     const PageServer::Render& render) {
  const auto target = request.target();
  Page page;
  if (request.method() == http::verb::get) {
    page = render({{target.data(), target.size()}, client});
  } else {
    page = {405, "text/plain", "only GET is allowed\n"};
  }
  Response response(static_cast<http::status>(page.http_status),
                    request.version());
  response.set(http::field::content_type, page.content_type);
  response.set(http::field::cache_control, "no-store");
  if (page.http_status == 405)
    response.set(http::field::allow, "GET");
  response.keep_alive(request.keep_alive());
  response.body() = std::move(page.body);
  response.prepare_payload();
  return response;
}

}  // namespace

// All connections share one strand, so that requests for pages occupy at most
// one thread of the pool, and the fields below need no lock.
struct PageServer::Listener : std::enable_shared_from_this<Listener> {
  Listener(asio::io_context& context,
           const tcp::endpoint& endpoint,
           PageServer::Render render_page,
           const PageLimits& page_limits)
      : render(std::move(render_page)),
        limits(page_limits),
        strand(asio::make_strand(context)),
        acceptor(strand, endpoint),
        pause(strand) {}

  void Accept();
  void AcceptAfterPause();
  void StartConnection(tcp::socket socket);
  void ServeRequests(beast::tcp_stream& stream, asio::yield_context yield);
  void Close();

  const PageServer::Render render;
  const PageLimits limits;
  Strand strand;
  tcp::acceptor acceptor;
  asio::steady_timer pause;
  std::list<beast::tcp_stream> streams;
  bool closed = false;
};

void PageServer::Listener::Accept() {
  acceptor.async_accept(
      [self = shared_from_this()](const boost::system::error_code& error,
                                  tcp::socket socket) {
        if (self->closed)
          return;
        if (error) {
          self->AcceptAfterPause();
          return;
        }
        if (self->streams.size() < self->limits.max_connections)
          self->StartConnection(std::move(socket));
        self->Accept();
      });
}

void PageServer::Listener::AcceptAfterPause() {
  pause.expires_after(kAcceptPause);
  pause.async_wait(
      [self = shared_from_this()](const boost::system::error_code&) {
        if (!self->closed)
          self->Accept();
      });
}

void PageServer::Listener::StartConnection(tcp::socket socket) {
  streams.emplace_back(std::move(socket));
  const auto stream = std::prev(streams.end());
  asio::spawn(strand,
              [self = shared_from_this(), stream](asio::yield_context yield) {
                try {
                  self->ServeRequests(*stream, yield);
                } catch (const boost::system::system_error&) {
                  // The client sent an invalid request, closed the connection
                  // or was too slow.
                }
                self->streams.erase(stream);
              });
}

void PageServer::Listener::ServeRequests(beast::tcp_stream& stream,
                                         asio::yield_context yield) {
  beast::flat_buffer buffer(kMaxHeaderBytes);
  const std::string client =
      stream.socket().remote_endpoint().address().to_string();
  bool keep_alive = true;
  while (keep_alive && !closed) {
    http::request_parser<http::empty_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    stream.expires_after(limits.read_timeout);
    http::async_read(stream, buffer, parser, yield);
    Response response = ResponseFor(parser.get(), client, render);
    keep_alive = response.keep_alive();
    stream.expires_after(limits.write_timeout);
    http::async_write(stream, response, yield);
  }
}

void PageServer::Listener::Close() {
  closed = true;
  boost::system::error_code ignored;
  acceptor.close(ignored);
  pause.cancel();
  for (beast::tcp_stream& stream : streams)
    stream.close();
}

PageServer::PageServer(asio::io_context& context,
                       const Endpoint& endpoint,
                       Render render,
                       PageLimits limits)
    : listener_(std::make_shared<Listener>(
          context,
          tcp::endpoint(asio::ip::make_address(endpoint.address),
                        endpoint.port),
          std::move(render),
          limits)) {
  asio::post(listener_->strand, [listener = listener_] { listener->Accept(); });
}

PageServer::~PageServer() {
  Stop();
}

void PageServer::Stop() {
  asio::post(listener_->strand, [listener = listener_] {
    if (!listener->closed)
      listener->Close();
  });
}

}  // namespace mangodoor
