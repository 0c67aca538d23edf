#include "process/status/io/admin_server.h"

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

#include "process/status/instance_status.h"
#include "process/status/io/admin_pages.h"
#include "process/tables.h"

namespace mangodoor {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using tcp = asio::ip::tcp;
using Strand = asio::strand<asio::io_context::executor_type>;
using Response = http::response<http::string_body>;

namespace {

// A scraper, a few operators and their scripts; more is a fault of a client.
constexpr size_t kMaxConnections = 16;
constexpr uint32_t kMaxHeaderBytes = 8 * 1024;
// Also the longest that an idle connection holds one of the places.
constexpr std::chrono::seconds kReadTimeLimit{10};
constexpr std::chrono::seconds kWriteTimeLimit{10};
// Accepting fails at once while the process has no free descriptor; without
// a pause the loop would spin.
constexpr std::chrono::milliseconds kAcceptPause{100};

Response ResponseFor(const http::request<http::empty_body>& request,
                     const Tables& tables,
                     const Clock& clock) {
  const auto target = request.target();
  AdminPage page;
  if (request.method() == http::verb::get) {
    page = RenderAdminPage({target.data(), target.size()}, tables, clock);
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

// All connections share one strand, so that operators occupy at most one
// thread of the pool, and the fields below need no lock.
struct AdminServer::Listener : std::enable_shared_from_this<Listener> {
  Listener(const Tables& listener_tables,
           const Clock& listener_clock,
           asio::io_context& context,
           const tcp::endpoint& endpoint)
      : tables(listener_tables),
        clock(listener_clock),
        strand(asio::make_strand(context)),
        acceptor(strand, endpoint),
        pause(strand) {}

  void Accept();
  void PauseAndAccept();
  void Start(tcp::socket socket);
  void Serve(beast::tcp_stream& stream, asio::yield_context yield);
  void Close();

  const Tables& tables;
  const Clock& clock;
  Strand strand;
  tcp::acceptor acceptor;
  asio::steady_timer pause;
  std::list<beast::tcp_stream> streams;
  bool closed = false;
};

void AdminServer::Listener::Accept() {
  acceptor.async_accept(
      [self = shared_from_this()](const boost::system::error_code& error,
                                  tcp::socket socket) {
        if (self->closed)
          return;
        if (error) {
          self->PauseAndAccept();
          return;
        }
        if (self->streams.size() < kMaxConnections)
          self->Start(std::move(socket));
        self->Accept();
      });
}

void AdminServer::Listener::PauseAndAccept() {
  pause.expires_after(kAcceptPause);
  pause.async_wait(
      [self = shared_from_this()](const boost::system::error_code&) {
        if (!self->closed)
          self->Accept();
      });
}

void AdminServer::Listener::Start(tcp::socket socket) {
  streams.emplace_back(std::move(socket));
  const auto stream = std::prev(streams.end());
  asio::spawn(strand,
              [self = shared_from_this(), stream](asio::yield_context yield) {
                try {
                  self->Serve(*stream, yield);
                } catch (const boost::system::system_error&) {
                  // The operator's side closed the connection or was too slow.
                }
                self->streams.erase(stream);
              });
}

void AdminServer::Listener::Serve(beast::tcp_stream& stream,
                                  asio::yield_context yield) {
  beast::flat_buffer buffer(kMaxHeaderBytes);
  bool keep_alive = true;
  while (keep_alive && !closed) {
    http::request_parser<http::empty_body> parser;
    parser.header_limit(kMaxHeaderBytes);
    stream.expires_after(kReadTimeLimit);
    http::async_read(stream, buffer, parser, yield);
    Response response = ResponseFor(parser.get(), tables, clock);
    keep_alive = response.keep_alive();
    stream.expires_after(kWriteTimeLimit);
    http::async_write(stream, response, yield);
  }
}

void AdminServer::Listener::Close() {
  closed = true;
  boost::system::error_code ignored;
  acceptor.close(ignored);
  pause.cancel();
  for (beast::tcp_stream& stream : streams)
    stream.close();
}

AdminServer::AdminServer(const Tables& tables,
                         const Clock& clock,
                         asio::io_context& context,
                         const Endpoint& endpoint)
    : listener_(std::make_shared<Listener>(
          tables,
          clock,
          context,
          tcp::endpoint(asio::ip::make_address(endpoint.address),
                        endpoint.port))) {
  asio::post(listener_->strand, [listener = listener_] { listener->Accept(); });
}

AdminServer::~AdminServer() {
  Stop();
}

void AdminServer::Stop() {
  asio::post(listener_->strand, [listener = listener_] {
    if (!listener->closed)
      listener->Close();
  });
}

}  // namespace mangodoor
