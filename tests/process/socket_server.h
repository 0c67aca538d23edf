#ifndef TESTS_PROCESS_SOCKET_SERVER_H_
#define TESTS_PROCESS_SOCKET_SERVER_H_

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <functional>
#include <string>
#include <thread>
#include <utility>

#include "version/endpoint.h"

namespace mangodoor {

/** Serves one connection after the other, on a thread of its own. */
class SocketServer {
 public:
  /** Called when the head of the first request of a connection was read. */
  using Handler = std::function<void(boost::asio::ip::tcp::socket&)>;

  explicit SocketServer(Handler handler)
      : handler_(std::move(handler)),
        acceptor_(context_, {boost::asio::ip::address_v4::loopback(), 0}),
        thread_([this] { Run(); }) {}

  ~SocketServer() {
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
    while (!stopping_) {
      boost::system::error_code error;
      boost::asio::ip::tcp::socket socket(context_);
      acceptor_.accept(socket, error);
      std::string request;
      boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                              "\r\n\r\n", error);
      if (!error)
        handler_(socket);
    }
  }

  const Handler handler_;
  std::atomic<bool> stopping_{false};
  boost::asio::io_context context_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

}  // namespace mangodoor

#endif  // TESTS_PROCESS_SOCKET_SERVER_H_
