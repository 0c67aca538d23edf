#include <gtest/gtest.h>

#include <stdexcept>

#include "process/endless_server.h"
#include "process/http_get_once.h"
#include "process/io/blocking_get.h"
#include "process/io/page_server.h"
#include "process/peers/io/peer_sockets.h"

namespace mangodoor {
namespace {

constexpr char kResponse[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
constexpr std::chrono::milliseconds kTimeout(1000);

class EndlessResponseTest : public ::testing::TestWithParam<EndlessResponse> {
 protected:
  EndlessServer server_{GetParam(), kResponse};
};

// Guards against memory that grows as long as a faulty server goes on writing.
TEST_P(EndlessResponseTest, EndsHttpGet) {
  EXPECT_NE(GetOnce(server_.endpoint(), kTimeout).error, "");
  EXPECT_LT(server_.bytes_sent(), kMaxEndlessBytes);
  EXPECT_EQ(GetOnce(server_.endpoint(), kTimeout).response.body(), "ok");
}

// Guards against the same in the programs for operators.
TEST_P(EndlessResponseTest, EndsBlockingGet) {
  EXPECT_THROW(BlockingGet(server_.endpoint(), "/", kTimeout),
               std::runtime_error);
  EXPECT_LT(server_.bytes_sent(), kMaxEndlessBytes);
  EXPECT_EQ(BlockingGet(server_.endpoint(), "/", kTimeout).body, "ok");
}

// Guards against the same in the handshake with another instance.
TEST_P(EndlessResponseTest, EndsTheHandshakeOfPeers) {
  boost::asio::io_context context;
  bool closed = false;
  PeerSocketEvents events;
  events.opened = [](LinkId, PeerRole) { ADD_FAILURE() << "opened"; };
  events.closed = [&closed](LinkId) { closed = true; };
  PeerSocketLimits limits;
  limits.open_timeout = kTimeout;
  PeerSockets sockets(context, limits, events);
  sockets.Dial(sockets.ReserveLink(), server_.endpoint());
  context.run();
  EXPECT_TRUE(closed);
  EXPECT_LT(server_.bytes_sent(), kMaxEndlessBytes);
}

/** Parts of a request that a client of the admin pages sends without end. */
std::vector<EndlessResponse> EndlessRequests() {
  const std::string chunked =
      "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {
      {"target", "GET /", "a"},
      {"header field", "GET / HTTP/1.1\r\nX: ", "a"},
      {"header fields", "GET / HTTP/1.1\r\n", "X: a\r\n"},
      {"chunk extension", chunked + "1;a=", "a"},
      {"trailer field", chunked + "0\r\nX: ", "a"},
      {"body", "GET / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", "a"}};
}

// Guards against memory that grows as long as a client of the pages goes on
// writing, and against a server that answers no one after it.
TEST(EndlessRequestTest, EndsAtThePageServer) {
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor free_port(
      context, {boost::asio::ip::address_v4::loopback(), 0});
  const Endpoint address{"127.0.0.1", free_port.local_endpoint().port()};
  free_port.close();
  PageServer pages(context, address, [](const PageRequest&) {
    return Page{200, "", "ok"};
  });
  std::thread server([&context] { context.run(); });
  for (const EndlessResponse& request : EndlessRequests()) {
    SCOPED_TRACE(request.name);
    boost::asio::io_context client_context;
    boost::asio::ip::tcp::socket socket(client_context);
    socket.connect(
        {boost::asio::ip::make_address(address.address), address.port});
    const std::atomic<bool> stopping{false};
    std::atomic<size_t> written{0};
    WriteEndless(socket, request, stopping, written);
    EXPECT_LT(written, kMaxEndlessBytes);
    EXPECT_EQ(BlockingGet(address, "/", kTimeout).body, "ok");
  }
  context.stop();
  server.join();
}

INSTANTIATE_TEST_SUITE_P(Parts,
                         EndlessResponseTest,
                         ::testing::ValuesIn(EndlessResponses()),
                         [](const auto& info) {
                           std::string name = info.param.name;
                           name.replace(name.find(' '), 1, "_");
                           return name;
                         });

}  // namespace
}  // namespace mangodoor
