#include "connection/data_path_fixture.h"

namespace mangodoor {
namespace {

using testing::AllOf;
using testing::EndsWith;
using testing::HasSubstr;
using testing::StartsWith;

class BadInputTest : public DataPathTest {
 protected:
  void ExpectRefused(const std::string& request, const std::string& name) {
    const std::string response = Exchange(request);
    EXPECT_THAT(response, AllOf(HasSubstr("Mangodoor-Error: " + name + "\r\n"),
                                HasSubstr("Mangodoor-Outcome: not-run\r\n")))
        << request;
  }
};

// Guards against request smuggling: none of these requests may reach a server.
TEST_F(BadInputTest, MalformedRequestsReachNoServer) {
  StartWith(RespondToAll(""));
  const std::string post = "POST /open HTTP/1.1\r\nHost: a\r\n";
  const std::string chunked = post + "Transfer-Encoding: chunked\r\n";
  const std::string malformed = "malformed_request";
  for (const std::string& request : {
           std::string("nonsense\r\n\r\n"),
           std::string("GET /open HTTP/2.0\r\nHost: a\r\n\r\n"),
           std::string("GET  /open HTTP/1.1\r\nHost: a\r\n\r\n"),
           std::string("GET /open HTTP/1.1\r\n\r\n"),
           std::string("GET /open HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n"),
           chunked + "Content-Length: 3\r\n\r\n0\r\n\r\n",
           post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
           post + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
           post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
           post + "Content-Length: -3\r\n\r\n",
           post + "Content-Length: 3, 3\r\n\r\nabc",
           post + "Content-Length: 99999999999999999999999\r\n\r\n",
           post + "X: a\r\n folded\r\n\r\n",
           post + "X: a\rb\r\n\r\n",
           post + "X : a\r\n\r\n",
           post + "X: a\n\n",
           std::string("POST /open HTTP/1.0\r\nHost: a\r\n"
                       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
           post + "X-Request-Timeout-Ms: soon\r\n\r\n",
           post + "X-Api-Key: a\r\nAuthorization: Bearer b\r\n\r\n",
           chunked + "\r\nxyz\r\n",
           chunked + "\r\nfffffffffffffffff\r\n",
           chunked + "\r\n3\r\nabcd\r\n0\r\n\r\n",
           chunked + "\r\n3\nabc\r\n0\r\n\r\n",
       })
    ExpectRefused(request, malformed);
  ExpectRefused(post + "Transfer-Encoding: gzip\r\n\r\n",
                "unsupported_request");
  ExpectRefused(post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                "unsupported_request");
  ExpectRefused("CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n",
                "unsupported_request");
  ExpectRefused(post + "Expect: magic\r\n\r\n", "unsupported_request");
  EXPECT_EQ(server_->connections(), 0);
}

// Guards against accepting a request line, header field or chunk header of any
// length.
TEST_F(BadInputTest, RefusesOversizedHeaders) {
  StartWith(RespondToAll(""));
  const std::string filler(20000, 'a');
  ExpectRefused("GET /" + filler + " HTTP/1.1\r\n\r\n", "header_too_large");
  ExpectRefused("GET /open HTTP/1.1\r\nX: " + filler + "\r\n\r\n",
                "header_too_large");
  ExpectRefused(
      "POST /open HTTP/1.1\r\nHost: a\r\n"
      "Transfer-Encoding: chunked\r\n\r\n1;" +
          std::string(100000, 'x'),
      "malformed_request");
  EXPECT_EQ(server_->connections(), 0);
}

// Guards against slow senders that keep a connection open for ever, and against
// a slow sender that delays the requests of other callers.
TEST_F(BadInputTest, SlowSendersAreDisconnected) {
  limits_.header = std::chrono::milliseconds(100);
  limits_.body_progress = std::chrono::milliseconds(100);
  limits_.idle = std::chrono::milliseconds(100);
  StartWith(RespondToAll("ok"));
  TestConnection slow_header = Connect();
  slow_header.Write("GET /open HTTP/1.1\r\n");
  TestConnection slow_body = Connect();
  slow_body.Write(
      "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc");
  TestConnection idle = Connect();
  EXPECT_THAT(Exchange("GET /open HTTP/1.1\r\nHost: a\r\n"
                       "Connection: close\r\n\r\n"),
              EndsWith("ok"));
  EXPECT_THAT(slow_header.ReadAll(), StartsWith("HTTP/1.1 408"));
  EXPECT_THAT(slow_body.ReadAll(), AllOf(StartsWith("HTTP/1.1 408"),
                                         HasSubstr("Retry-After: 1\r\n")));
  EXPECT_EQ(idle.ReadAll(), "");
  EXPECT_EQ(server_->connections(), 1);
}

// Guards against closing the connection after an error response to a request
// whose framing was valid.
TEST_F(BadInputTest, RefusalKeepsConnection) {
  StartWith(RespondToAll("ok"));
  TestConnection caller = Connect();
  caller.Write(
      "POST /nowhere HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_THAT(caller.ReadMessage(), StartsWith("HTTP/1.1 404"));
  caller.Write(kGet);
  EXPECT_THAT(caller.ReadMessage(), EndsWith("ok"));
}

}  // namespace
}  // namespace mangodoor
