#ifndef STANDINS_HTTP_STANDIN_H_
#define STANDINS_HTTP_STANDIN_H_

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <csignal>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "version/endpoint.h"

namespace mangodoor {

using StandinRequest =
    boost::beast::http::request<boost::beast::http::string_body>;
using StandinResponse =
    boost::beast::http::response<boost::beast::http::string_body>;

/**
 * Handles a request, and can wait on the yield context. If it returns no
 * response, the connection is closed.
 */
using StandinHandler =
    std::function<std::optional<StandinResponse>(const StandinRequest&,
                                                 boost::asio::yield_context)>;

inline StandinResponse MakeStandinResponse(boost::beast::http::status status,
                                           std::string body = {}) {
  StandinResponse response(status, 11);
  response.body() = std::move(body);
  return response;
}

/** A small HTTP/1.1 server on one thread, for stand-ins. */
class HttpStandin {
 public:
  HttpStandin(const Endpoint& endpoint, StandinHandler handler)
      : handler_(std::move(handler)),
        acceptor_(
            context_,
            {boost::asio::ip::make_address(endpoint.address), endpoint.port}),
        signals_(context_, SIGTERM, SIGINT) {}

  boost::asio::io_context& context() { return context_; }

  /** Serves until SIGTERM or SIGINT. */
  void Run() {
    signals_.async_wait(
        [this](const boost::system::error_code&, int) { context_.stop(); });
    Accept();
    context_.run();
  }

 private:
  void Accept() {
    acceptor_.async_accept([this](const boost::system::error_code& error,
                                  boost::asio::ip::tcp::socket socket) {
      if (error)
        return;
      auto stream =
          std::make_shared<boost::beast::tcp_stream>(std::move(socket));
      boost::asio::spawn(context_,
                         [this, stream](boost::asio::yield_context yield) {
                           Serve(*stream, yield);
                         });
      Accept();
    });
  }

  void Serve(boost::beast::tcp_stream& stream,
             boost::asio::yield_context yield) {
    boost::beast::flat_buffer buffer;
    boost::system::error_code error;
    while (!error) {
      boost::beast::http::request_parser<boost::beast::http::string_body>
          parser;
      parser.body_limit(kMaxBodyBytes);
      boost::beast::http::async_read(stream, buffer, parser, yield[error]);
      if (error)
        return;
      const StandinRequest request = parser.release();
      std::optional<StandinResponse> response = handler_(request, yield);
      if (!response)
        return;
      response->keep_alive(request.keep_alive());
      response->prepare_payload();
      boost::beast::http::async_write(stream, *response, yield[error]);
      if (!request.keep_alive())
        return;
    }
  }

  static constexpr uint64_t kMaxBodyBytes = 4 * 1024 * 1024;

  StandinHandler handler_;
  boost::asio::io_context context_{1};
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::signal_set signals_;
};

}  // namespace mangodoor

#endif  // STANDINS_HTTP_STANDIN_H_
