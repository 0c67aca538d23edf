#include "store_client.h"

#include <gtest/gtest.h>

#include "process/endless_server.h"
#include "process/one_response_server.h"

namespace mangodoor::platform {
namespace {

constexpr char kResponse[] =
    "HTTP/1.1 200 OK\r\nContent-Length: 28\r\n\r\n"
    R"({"events":[],"CurrentRev":7})";

StoreAnswer Watch(boost::asio::io_context& context, StoreClient& client) {
  StoreAnswer result;
  client.Watch(0, std::chrono::milliseconds(200),
               [&result](StoreAnswer answer) { result = std::move(answer); });
  context.run();
  context.restart();
  return result;
}

std::vector<EndlessResponse> ResponsesOfStore() {
  std::vector<EndlessResponse> responses = EndlessResponses();
  responses.push_back({"body until_close", "HTTP/1.1 200 OK\r\n\r\n", "a"});
  responses.push_back({"body too_long",
                       "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
                       "a"});
  return responses;
}

/** Accepts one request and returns its first line. */
std::string RequestLineOf(const std::string& after_key) {
  boost::asio::io_context server_context;
  boost::asio::ip::tcp::acceptor acceptor(
      server_context, {boost::asio::ip::address_v4::loopback(), 0});
  boost::asio::io_context context;
  StoreClient client(context, {"127.0.0.1", acceptor.local_endpoint().port()});
  client.ReadPage(after_key, ReadConsistency::kCurrent, [](StoreAnswer) {});
  std::thread reader([&context] { context.run(); });
  boost::asio::ip::tcp::socket socket = acceptor.accept();
  std::string request;
  boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                          "\r\n\r\n");
  socket.close();
  reader.join();
  return request.substr(0, request.find("\r\n"));
}

// Guards against a key of another writer that changes the request for the next
// page, so that the store cannot be read to its end.
TEST(StoreClientTest, EscapesTheKeyInARequest) {
  EXPECT_EQ(RequestLineOf("servers/i-7f"),
            "GET /kv-range?Prefix=&after=servers/i-7f HTTP/1.1");
  EXPECT_EQ(RequestLineOf("a b&StaleOk=1\r\n%\xff"),
            "GET /kv-range?Prefix=&after=a%20b%26StaleOk%3D1%0D%0A%25%FF "
            "HTTP/1.1");
}

// Guards against an instance that never gets a page of a megabyte, because its
// link takes longer for it than the store may take to respond.
TEST(StoreClientTest, BodyMayTakeLongerThanTheResponse) {
  boost::asio::io_context server_context;
  boost::asio::ip::tcp::acceptor acceptor(
      server_context, {boost::asio::ip::address_v4::loopback(), 0});
  std::thread server([&acceptor] {
    boost::asio::ip::tcp::socket socket = acceptor.accept();
    std::string request;
    boost::asio::read_until(socket, boost::asio::dynamic_buffer(request),
                            "\r\n\r\n");
    const std::string response = kResponse;
    constexpr size_t kPiece = 4;
    for (size_t begin = 0; begin < response.size(); begin += kPiece) {
      boost::system::error_code error;
      boost::asio::write(
          socket, boost::asio::buffer(response.substr(begin, kPiece)), error);
      const bool in_body = begin > response.find("\r\n\r\n");
      std::this_thread::sleep_for(std::chrono::milliseconds(in_body ? 200 : 0));
    }
  });
  boost::asio::io_context context;
  StoreClient client(context, {"127.0.0.1", acceptor.local_endpoint().port()});
  EXPECT_EQ(Watch(context, client).kind, StoreAnswer::Kind::kItems);
  server.join();
}

StoreAnswer::Kind KindOf(const OneResponse& response) {
  OneResponseServer server(response);
  boost::asio::io_context context;
  StoreClient client(context, server.endpoint());
  return Watch(context, client).kind;
}

// Guards against a copy of the store that is made of a part of a response, or
// of bytes that are none.
TEST(StoreClientTest, BrokenResponseIsUnavailable) {
  const std::string body = R"({"events":[],"CurrentRev":7})";
  const std::string unended = "HTTP/1.1 200 OK\r\n\r\n" + body;
  EXPECT_EQ(KindOf({unended, true}), StoreAnswer::Kind::kUnavailable);
  EXPECT_EQ(KindOf({unended, false}), StoreAnswer::Kind::kItems);
  for (const char* status : {"000", "099", "103", "600", "999"}) {
    SCOPED_TRACE(status);
    EXPECT_EQ(KindOf({std::string("HTTP/1.1 ") + status +
                          " Status\r\nContent-Length: 28\r\n\r\n" + body,
                      false}),
              StoreAnswer::Kind::kUnavailable);
  }
}

class EndlessStoreTest : public ::testing::TestWithParam<EndlessResponse> {};

// Guards against memory that grows as long as a faulty store goes on writing,
// and against a client that cannot read after it.
TEST_P(EndlessStoreTest, EndsTheReadButNotTheNextOne) {
  EndlessServer server(GetParam(), kResponse);
  boost::asio::io_context context;
  StoreClient client(context, server.endpoint());
  // A body without end would have none the next time either.
  const bool has_header =
      GetParam().begin.find("\r\n\r\n") != std::string::npos;
  EXPECT_EQ(Watch(context, client).kind, has_header
                                             ? StoreAnswer::Kind::kUnusable
                                             : StoreAnswer::Kind::kUnavailable);
  EXPECT_LT(server.bytes_sent(), kMaxEndlessBytes);
  const StoreAnswer next = Watch(context, client);
  EXPECT_EQ(next.kind, StoreAnswer::Kind::kItems);
  EXPECT_EQ(next.revision, 7U);
}

INSTANTIATE_TEST_SUITE_P(Parts,
                         EndlessStoreTest,
                         ::testing::ValuesIn(ResponsesOfStore()),
                         [](const auto& info) {
                           std::string name = info.param.name;
                           name.replace(name.find(' '), 1, "_");
                           return name;
                         });

}  // namespace
}  // namespace mangodoor::platform
