#include "connection/io/backend_transport.h"

#include <boost/asio/bind_executor.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <memory>
#include <utility>

namespace mangodoor {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

/**
 * A connect operation and the timer that limits it. Both handlers run on
 * `strand`.
 */
struct ConnectOperation {
  explicit ConnectOperation(asio::io_context& io)
      : strand(asio::make_strand(io)),
        socket(std::make_shared<BackendSocket>(io)),
        timer(io) {}

  asio::strand<asio::io_context::executor_type> strand;
  std::shared_ptr<BackendSocket> socket;
  asio::steady_timer timer;
  bool completed = false;
};

}  // namespace

void TcpBackendTransport::Connect(const Endpoint& endpoint,
                                  Duration limit,
                                  ConnectCallback done) {
  auto operation = std::make_shared<ConnectOperation>(io_);
  boost::system::error_code invalid;
  const auto address = asio::ip::make_address(endpoint.address, invalid);
  if (invalid) {
    asio::post(io_,
               [invalid, done = std::move(done)] { done(invalid, nullptr); });
    return;
  }
  const tcp::endpoint remote(address, endpoint.port);
  asio::dispatch(
      operation->strand, [operation, remote, limit, done = std::move(done)] {
        operation->timer.expires_after(limit);
        operation->timer.async_wait(asio::bind_executor(
            operation->strand, [operation](boost::system::error_code error) {
              boost::system::error_code ignored;
              if (!error && !operation->completed)
                operation->socket->close(ignored);
            }));
        operation->socket->async_connect(
            remote, asio::bind_executor(
                        operation->strand,
                        [operation, done](boost::system::error_code error) {
                          operation->completed = true;
                          operation->timer.cancel();
                          boost::system::error_code ignored;
                          if (!error) {
                            operation->socket->set_option(tcp::no_delay(true),
                                                          ignored);
                            operation->socket->non_blocking(true, ignored);
                          }
                          done(error, error ? nullptr : operation->socket);
                        }));
      });
}

}  // namespace mangodoor
