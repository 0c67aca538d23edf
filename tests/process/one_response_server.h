#ifndef TESTS_PROCESS_ONE_RESPONSE_SERVER_H_
#define TESTS_PROCESS_ONE_RESPONSE_SERVER_H_

#include <boost/asio/write.hpp>
#include <string>
#include <utility>

#include "process/socket_server.h"

namespace mangodoor {

/** Bytes, and how a connection ends behind them. */
struct OneResponse {
  std::string bytes;
  bool reset = false;
};

/** Writes the same bytes on each connection, and ends it. */
class OneResponseServer {
 public:
  explicit OneResponseServer(OneResponse response)
      : response_(std::move(response)),
        server_([this](boost::asio::ip::tcp::socket& socket) {
          boost::system::error_code ignored;
          boost::asio::write(socket, boost::asio::buffer(response_.bytes),
                             ignored);
          // With a linger time of 0, closing sends a reset.
          if (response_.reset)
            socket.set_option(boost::asio::socket_base::linger(true, 0),
                              ignored);
          socket.close(ignored);
        }) {}

  Endpoint endpoint() const { return server_.endpoint(); }

 private:
  const OneResponse response_;
  SocketServer server_;
};

}  // namespace mangodoor

#endif  // TESTS_PROCESS_ONE_RESPONSE_SERVER_H_
