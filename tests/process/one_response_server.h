#ifndef TESTS_PROCESS_ONE_RESPONSE_SERVER_H_
#define TESTS_PROCESS_ONE_RESPONSE_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <string>
#include <thread>
#include <utility>

#include "version/endpoint.h"

namespace mangodoor {

/** Bytes, and how a connection ends behind them. */
struct OneResponse {
  std::string bytes;
  bool reset = false;
};

/** Writes the same bytes to the first request of each connection, and ends it.
 */
class OneResponseServer {
 public:
  explicit OneResponseServer(OneResponse response)
      : response_(std::move(response)),
        acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
        thread_([this] { Run(); }) {}

  ~OneResponseServer() {
    stopping_ = true;
    boost::system::error_code ignored;
    boost::asio::ip::tcp::socket wake(context_);
    wake.connect(acceptor_.local_endpoint(), ignored);
    wake.close(ignored);
    thread_.join();
  }

  Endpoint endpoint() const {
    return {"127.0.0.1", acceptor_.local_endpoint().port()};
  }

 private:
  void Run() {
    namespace asio = boost::asio;
    while (!stopping_) {
      boost::system::error_code error;
      asio::ip::tcp::socket socket(context_);
      acceptor_.accept(socket, error);
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n",
                       error);
      if (error)
        continue;
      asio::write(socket, asio::buffer(response_.bytes), error);
      if (response_.reset)
        socket.set_option(asio::socket_base::linger(true, 0), error);
      socket.close(error);
    }
  }

  const OneResponse response_;
  std::atomic<bool> stopping_{false};
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace mangodoor

#endif  // TESTS_PROCESS_ONE_RESPONSE_SERVER_H_
