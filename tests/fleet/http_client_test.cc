#include "fleet/harness/http_client.h"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <functional>
#include <thread>

namespace mangodoor {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

// More than the buffers of the sockets hold.
constexpr size_t kUploadSize = 6 * 1024 * 1024;

/** Reads the head of one request, writes `bytes` and calls `end`. */
class OneAnswer {
 public:
  OneAnswer(std::string bytes, std::function<void(tcp::socket&)> end)
      : acceptor_(context_, {asio::ip::address_v4::loopback(), 0}),
        thread_([this, bytes = std::move(bytes), end = std::move(end)] {
          tcp::socket socket = acceptor_.accept();
          std::string request;
          asio::read_until(socket, asio::dynamic_buffer(request), "\r\n\r\n");
          asio::write(socket, asio::buffer(bytes));
          end(socket);
        }) {}
  ~OneAnswer() { thread_.join(); }

  ClientResponse Call(size_t upload) {
    ClientRequest request;
    request.method = "POST";
    request.body = std::string(upload, 'u');
    return CallOnce({"127.0.0.1", acceptor_.local_endpoint().port()}, request);
  }

 private:
  asio::io_context context_;
  tcp::acceptor acceptor_;
  std::thread thread_;
};

void Reset(tcp::socket& socket) {
  socket.set_option(asio::socket_base::linger(true, 0));
  socket.close();
}

// Guards against a fault of an instance that its callers in tests do not see: a
// status that HTTP does not have counted as no response.
TEST(HttpClientFleetTest, InvalidStatusIsMalformed) {
  for (const char* status : {"000", "099", "600", "999"}) {
    SCOPED_TRACE(status);
    OneAnswer server(std::string("HTTP/1.1 ") + status +
                         " Status\r\nContent-Length: 0\r\n\r\n",
                     [](tcp::socket& socket) { socket.close(); });
    const ClientResponse response = server.Call(0);
    EXPECT_EQ(response.status, 0);
    EXPECT_NE(response.malformed, "");
  }
}

// Guards against an early answer that is not seen because its sender does not
// read the request.
TEST(HttpClientFleetTest, EarlyAnswerIsRead) {
  OneAnswer server("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", Reset);
  EXPECT_EQ(server.Call(kUploadSize).body, "ok");
}

// Guards against a reset that is taken for the end of an early answer.
TEST(HttpClientFleetTest, ResetIsNoEndOfAnEarlyAnswer) {
  OneAnswer server("HTTP/1.1 200 OK\r\n\r\nok", Reset);
  EXPECT_EQ(server.Call(kUploadSize).status, 0);
}

TEST(HttpClientFleetTest, CloseEndsAnAnswer) {
  OneAnswer server("HTTP/1.1 200 OK\r\n\r\nok",
                   [](tcp::socket& socket) { socket.close(); });
  EXPECT_EQ(server.Call(0).body, "ok");
}

}  // namespace
}  // namespace mangodoor
