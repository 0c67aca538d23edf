#include <gtest/gtest.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <thread>

#include "store_client.h"

namespace mangodoor::platform {
namespace {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

std::string ResponseWithRevision(int revision) {
  const std::string body =
      R"({"events":[],"CurrentRev":)" + std::to_string(revision) + "}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

/** Accepts a connection for each of `responses` and writes it to a request. */
void Serve(tcp::acceptor& acceptor, const std::vector<std::string>& responses) {
  std::vector<tcp::socket> open;
  for (const std::string& response : responses) {
    open.push_back(acceptor.accept());
    std::string request;
    asio::read_until(open.back(), asio::dynamic_buffer(request), "\r\n\r\n");
    asio::write(open.back(), asio::buffer(response));
  }
}

uint64_t RevisionOf(asio::io_context& context, StoreClient& client) {
  uint64_t revision = 0;
  client.Watch(
      0, std::chrono::milliseconds(0),
      [&revision](StoreAnswer answer) { revision = answer.revision.number; });
  context.run();
  context.restart();
  return revision;
}

// Guards against a second response of the store that is taken for the response
// to the next request.
TEST(StoreExtraResponseTest, NextRequestUsesAnotherConnection) {
  asio::io_context server_context;
  tcp::acceptor acceptor(server_context, {asio::ip::address_v4::loopback(), 0});
  std::thread server([&acceptor] {
    Serve(acceptor, {ResponseWithRevision(7) + ResponseWithRevision(3),
                     ResponseWithRevision(8)});
  });
  asio::io_context context;
  StoreClient client(context, {"127.0.0.1", acceptor.local_endpoint().port()});
  EXPECT_EQ(RevisionOf(context, client), 7U);
  EXPECT_EQ(RevisionOf(context, client), 8U);
  acceptor.close();
  server.join();
}

}  // namespace
}  // namespace mangodoor::platform
