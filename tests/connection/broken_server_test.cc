#include "connection/broken_server_fixture.h"

namespace mangodoor {
namespace {

using testing::AllOf;
using testing::EndsWith;
using testing::HasSubstr;
using testing::Not;
using testing::StartsWith;

constexpr char kClosingGet[] =
    "GET /open HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
constexpr char kClosingPost[] =
    "POST /open HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    "Content-Length: 3\r\n\r\nabc";

// Guards against a caller that takes part of a response for all of it
// (docs/design.md 1.2, I6).
TEST_F(BrokenServerTest, BrokenResponseClosesCaller) {
  StartRespondingWith("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
  TestConnection caller = Connect();
  caller.Write(kGet);
  EXPECT_THAT(caller.ReadHead(), HasSubstr("Content-Length: 10"));
  EXPECT_TRUE(caller.ClosedByPeer());
}

TEST_F(BrokenServerTest, BrokenChunksCloseCaller) {
  StartRespondingWith(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n");
  EXPECT_THAT(Exchange(kGet), Not(HasSubstr("0\r\n\r\n")));
}

// Guards against a response whose end a server and a caller see at different
// places.
TEST_F(BrokenServerTest, AmbiguousResponsesAreRefused) {
  for (const char* head :
       {"Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc",
        "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "X : a\r\n\r\n",
        "X: a\r\n folded\r\n\r\n"}) {
    FakeServer server([head](TestConnection& connection) {
      connection.ReadMessage();
      connection.Write(std::string("HTTP/1.1 200 OK\r\n") + head);
    });
    StartAgainWith({server.endpoint()});
    EXPECT_THAT(Exchange(kClosingPost),
                AllOf(StartsWith("HTTP/1.1 502"),
                      HasSubstr("Mangodoor-Outcome: unknown")))
        << head;
  }
}

// Guards against a response that is given to another request
// (docs/design.md 1.2, I6).
TEST_F(BrokenServerTest, LateBytesCloseConnection) {
  StartWith([](TestConnection& connection) {
    while (!connection.ReadMessage().empty()) {
      connection.Write(
          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
          "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale");
    }
  });
  TestConnection caller = Connect();
  for (int i = 0; i < 3; ++i) {
    caller.Write(kGet);
    EXPECT_THAT(caller.ReadMessage(), EndsWith("ok"));
  }
  EXPECT_EQ(server_->connections(), 3);
}

// Guards against a non-idempotent request that is sent twice when its
// connection is lost without a response (docs/design.md 1.2, I8).
TEST_F(BrokenServerTest, NonIdempotentRequestIsNotRepeated) {
  StartTwo([](TestConnection&) {});
  EXPECT_THAT(Exchange(kClosingPost),
              AllOf(StartsWith("HTTP/1.1 502"),
                    HasSubstr("Mangodoor-Outcome: unknown")));
  EXPECT_EQ(received_, 1);
}

TEST_F(BrokenServerTest, IdempotentRequestIsRetriedElsewhere) {
  StartTwo([](TestConnection&) {});
  EXPECT_THAT(Exchange(kClosingGet), EndsWith("ok"));
  EXPECT_EQ(received_, 2);
}

// Guards against a refused request that is not offered to another server.
TEST_F(BrokenServerTest, RefusedRequestRunsElsewhere) {
  StartTwo([](TestConnection& connection) {
    connection.Write(
        "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  });
  EXPECT_THAT(Exchange(kClosingPost), EndsWith("ok"));
  EXPECT_EQ(received_, 2);
}

TEST_F(BrokenServerTest, RefusalByAllServersIsNotRun) {
  StartRespondingWith(
      "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
  EXPECT_THAT(
      Exchange(kClosingPost),
      AllOf(HasSubstr("Mangodoor-Error: "),
            HasSubstr("Mangodoor-Outcome: not-run"), HasSubstr("Retry-After")));
}

// Guards against the outcome "unknown" for a request that was never sent.
TEST_F(BrokenServerTest, UnreachableServerIsNotRun) {
  Endpoint closed;
  {
    FakeServer gone([](TestConnection&) {});
    closed = gone.endpoint();
  }
  Start({closed});
  EXPECT_THAT(Exchange(kClosingPost),
              AllOf(StartsWith("HTTP/1.1 503"),
                    HasSubstr("Mangodoor-Outcome: not-run")));
}

// Guards against a request that is freed while its wait for a connection is
// interrupted, and against the outcome "unknown" for a request that was never
// sent.
TEST_F(BrokenServerTest, DeadlineWhileAllConnectionsAreInUse) {
  StartWith([](TestConnection& connection) { connection.ClosedByPeer(); });
  std::vector<std::unique_ptr<TestConnection>> callers;
  for (int i = 0; i < kConnectionLimit; ++i) {
    callers.push_back(std::make_unique<TestConnection>(listener_->endpoint()));
    callers.back()->Write(kGet);
  }
  ASSERT_TRUE(Eventually(
      [this] { return server_->connections() == kConnectionLimit; }));
  EXPECT_THAT(Exchange("POST /open HTTP/1.1\r\nHost: a\r\nConnection: close"
                       "\r\nX-Request-Timeout-Ms: 100\r\n\r\n"),
              AllOf(StartsWith("HTTP/1.1 504"),
                    HasSubstr("Mangodoor-Error: deadline_exceeded"),
                    HasSubstr("Mangodoor-Outcome: not-run")));
  EXPECT_EQ(server_->connections(), kConnectionLimit);
}

// Guards against a withdrawn key that still works on an open connection
// (docs/design.md 1.2, I4).
TEST_F(BrokenServerTest, WithdrawnKeyStopsOnOpenConnection) {
  StartWith(RespondToAll("ok"));
  TestConnection caller = Connect();
  const std::string request =
      "GET /keyed HTTP/1.1\r\nHost: a\r\nX-Api-Key: key-one\r\n\r\n";
  caller.Write(request);
  EXPECT_THAT(caller.ReadMessage(), EndsWith("ok"));
  Apply(MakeTestVersion(2, true));
  caller.Write(request);
  EXPECT_THAT(caller.ReadMessage(), StartsWith("HTTP/1.1 403"));
}

// Guards against a compressed body that reaches a caller without the field that
// says so.
TEST_F(BrokenServerTest, TransferCodingsAreRefused) {
  for (const char* head :
       {"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nzip",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"
        "3\r\nzip\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nzip\r\n0\r\n\r\n"}) {
    SCOPED_TRACE(head);
    StartAgainWith([head](TestConnection& connection) {
      connection.ReadMessage();
      connection.Write(head);
    });
    EXPECT_THAT(Exchange(kClosingPost), StartsWith("HTTP/1.1 502"));
  }
  EXPECT_EQ(FaultCount(ResponseFault::kTransferCoding), 3);
}

// Guards against a slow server that determines the tail latency although
// another one is free.
TEST_F(BrokenServerTest, HedgeOvertakesSlowServer) {
  StartTwo([](TestConnection& connection) { connection.ClosedByPeer(); });
  RecordFastResponses(200);
  ASSERT_TRUE(HedgeDelay(tables_.servers, ServiceId("s")));
  EXPECT_THAT(Exchange(kClosingGet), EndsWith("ok"));
  EXPECT_EQ(tables_.counters.hedges, 1);
  EXPECT_EQ(received_, 2);
}

}  // namespace
}  // namespace mangodoor
