#include "connection/data_path_fixture.h"
#include "connection/resident_memory.h"
#include "request/io/body_reader.h"

namespace mangodoor {
namespace {

using testing::AllOf;
using testing::EndsWith;
using testing::HasSubstr;
using testing::Not;

class BodyTest : public DataPathTest {};

/** Echoes `total` bytes as they arrive. */
void Echo(TestConnection& connection, size_t total) {
  connection.ReadHead();
  connection.Write("HTTP/1.1 200 OK\r\nContent-Length: " +
                   std::to_string(total) + "\r\n\r\n");
  constexpr size_t kPieceSize = 16 * 1024;
  for (size_t done = 0; done < total; done += kPieceSize)
    connection.Write(connection.ReadExactly(kPieceSize));
}

// Guards against bodies that are held in memory: passing 64 MiB each way may
// use at most 16 MiB of additional memory (design 1.3).
TEST_F(BodyTest, LargeBodiesTakeBoundedMemory) {
  constexpr size_t kTotal = 64 * kMiB;
  constexpr size_t kPieceSize = 64 * 1024;
  StartWith([](TestConnection& connection) { Echo(connection, kTotal); });
  TestConnection caller = Connect();
  const size_t before = ResidentBytes();
  size_t highest = before;
  caller.Write("POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: " +
               std::to_string(kTotal) + "\r\n\r\n");
  std::thread sender([&caller] {
    const std::string piece(kPieceSize, 'x');
    for (size_t done = 0; done < kTotal; done += kPieceSize)
      caller.Write(piece);
  });
  EXPECT_THAT(caller.ReadHead(), HasSubstr("200 OK"));
  size_t received = 0;
  for (size_t size = 1; received < kTotal && size > 0; received += size) {
    size = caller.ReadExactly(kPieceSize).size();
    highest = std::max(highest, ResidentBytes());
  }
  sender.join();
  EXPECT_EQ(received, kTotal);
  EXPECT_LE(highest - before, 16 * kMiB);
}

// Guards against trailers that are lost, and an API key that is forwarded in a
// trailer (docs/design.md 1.2, I4).
TEST_F(BodyTest, ForwardsTrailersWithoutKeys) {
  std::string seen;
  StartWith([&seen](TestConnection& connection) {
    seen = connection.ReadHead();
    seen += connection.ReadExactly(23);
    connection.Write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nX-Sum: 9\r\n\r\n");
  });
  const std::string response = Exchange(
      "POST /open HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n"
      "Connection: close\r\n\r\n"
      "2\r\nab\r\n1\r\nc\r\n0\r\nX-Sum: 7\r\nX-Api-Key: key-one\r\n\r\n");
  EXPECT_THAT(seen, AllOf(HasSubstr("Transfer-Encoding: chunked"),
                          EndsWith("3\r\nabc\r\n0\r\nX-Sum: 7\r\n\r\n")));
  EXPECT_THAT(response, AllOf(HasSubstr("abc"), HasSubstr("de"),
                              EndsWith("0\r\nX-Sum: 9\r\n\r\n"),
                              Not(HasSubstr("key-one"))));
}

// Guards against sending a response body in chunks to an HTTP/1.0 caller, which
// cannot parse them.
TEST_F(BodyTest, Http10CallerGetsBodyUntilClose) {
  StartWith([](TestConnection& connection) {
    connection.ReadHead();
    connection.Write("HTTP/1.1 200 OK\r\n\r\nto the end");
  });
  const std::string response = Exchange("GET /open HTTP/1.0\r\n\r\n");
  EXPECT_THAT(response, AllOf(EndsWith("\r\n\r\nto the end"),
                              Not(HasSubstr("Transfer-Encoding"))));
}

// Guards against an upload that waits for a server that has already responded.
TEST_F(BodyTest, EarlyAnswerEndsUpload) {
  StartWith([](TestConnection& connection) {
    connection.ReadHead();
    connection.Write("HTTP/1.1 413 Too Large\r\nContent-Length: 3\r\n\r\nbig");
    connection.ClosedByPeer();
  });
  TestConnection caller = Connect();
  caller.Write(
      "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n" +
      std::string(100000, 'x'));
  EXPECT_THAT(caller.ReadAll(), AllOf(HasSubstr("413"), EndsWith("big")));
}

// Guards against reporting "not run" for a request whose body was partly sent
// (docs/design.md 1.2, I7).
TEST_F(BodyTest, MalformedChunkAfterStreamingHasUnknownOutcome) {
  StartWith([](TestConnection& connection) {
    connection.ReadHead();
    connection.ClosedByPeer();
  });
  TestConnection caller = Connect();
  caller.Write(
      "POST /open HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "20000\r\n" +
      std::string(0x20000, 'x') + "\r\n");
  ASSERT_TRUE(Eventually([this] { return server_->connections() == 1; }));
  caller.Write("zzz\r\n");
  EXPECT_THAT(caller.ReadAll(), AllOf(HasSubstr("malformed_request"),
                                      HasSubstr("Outcome: unknown")));
}

// Guards against status 408, which promises that a request has not run, for one
// of whose body a server had a part already.
TEST_F(BodyTest, SlowBodyAfterStreamingHasUnknownOutcome) {
  limits_.body_progress = std::chrono::milliseconds(200);
  StartWith([](TestConnection& connection) {
    connection.ReadHead();
    connection.ClosedByPeer();
  });
  TestConnection caller = Connect();
  caller.Write(
      "POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: 200000\r\n\r\n" +
      std::string(100000, 'x'));
  EXPECT_THAT(caller.ReadAll(),
              AllOf(HasSubstr("HTTP/1.1 504"), HasSubstr("Outcome: unknown")));
}

// Guards against a refusal that waits for a body as long as its sender makes
// some progress: what cannot be served is refused at once.
TEST_F(BodyTest, RefusalDoesNotWaitForASlowBody) {
  StartWith(RespondToAll("ok"));
  TestConnection caller = Connect();
  caller.Write(
      "POST /unknown HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n");
  std::atomic<bool> answered{false};
  std::thread sender([&caller, &answered] {
    for (int i = 0; i < 40 && !answered; ++i) {
      caller.Write("x");
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  });
  const auto began = std::chrono::steady_clock::now();
  EXPECT_THAT(caller.ReadHead(), HasSubstr("HTTP/1.1 404"));
  const auto took = std::chrono::steady_clock::now() - began;
  answered = true;
  sender.join();
  EXPECT_LT(took, std::chrono::seconds(3));
}

// Guards against a server that works on for a caller who has left after sending
// a body of more than is buffered.
TEST_F(BodyTest, CallerThatLeavesAfterStreamedBodyEndsAttempt) {
  constexpr size_t kSize = 300 * 1024;
  route_timeout_ = std::chrono::seconds(60);
  std::atomic<bool> received{false};
  std::atomic<bool> ended{false};
  StartWith([&](TestConnection& connection) {
    connection.ReadHead();
    received = connection.ReadExactly(kSize).size() == kSize;
    ended = connection.ClosedByPeer();
  });
  TestConnection caller = Connect();
  caller.Write("POST /open HTTP/1.1\r\nHost: a\r\nContent-Length: " +
               std::to_string(kSize) + "\r\n\r\n" + std::string(kSize, 'x'));
  ASSERT_TRUE(Eventually([&received] { return received.load(); }));
  caller.Close();
  EXPECT_TRUE(Eventually([&ended] { return ended.load(); }));
}

// Guards against a body of which the rest is not sent, because the first
// attempt ended before any of it was.
TEST_F(BodyTest, RetryAfterRefusedConnectionSendsTheWholeBody) {
  constexpr int kClosedServers = 18;
  const std::string body(300 * 1024, 'x');
  std::vector<Endpoint> servers;
  servers.reserve(kClosedServers + 1);
  for (int i = 0; i < kClosedServers; ++i)
    servers.push_back(FakeServer([](TestConnection&) {}).endpoint());
  server_ = std::make_unique<FakeServer>(RespondToAll("ok"));
  servers.push_back(server_->endpoint());
  Start(servers);
  std::string response;
  // Each request tries a few servers; closed ones are not tried again soon. The
  // first one can begin with the server that is open.
  for (int i = 0; i < kClosedServers && (tables_.counters.retries == 0 ||
                                         response.find("200") == response.npos);
       ++i) {
    response = Exchange(
        "POST /idempotent HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body);
  }
  EXPECT_THAT(response, EndsWith("ok"));
  EXPECT_GT(tables_.counters.retries, 0);
  EXPECT_EQ(ErrorCount(ErrorKind::kBackendTimeout), 0);
}

// Guards against a body whose end is marked by a close that does not come.
TEST_F(BodyTest, Http10CallerIsDisconnectedDespiteKeepAlive) {
  StartWith([](TestConnection& connection) {
    connection.ReadMessage();
    connection.Write(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        "3\r\nabc\r\n0\r\n\r\n");
    connection.ReadMessage();
  });
  TestConnection caller = Connect();
  caller.Write(
      "GET /open HTTP/1.0\r\nHost: a\r\nConnection: keep-alive\r\n\r\n");
  EXPECT_THAT(caller.ReadHead(), HasSubstr("200 OK"));
  EXPECT_EQ(caller.ReadAll(), "abc");
  EXPECT_FALSE(caller.timed_out());
}

// Guards against an HTTP/1.0 caller that takes a body for complete because the
// instance closes the connection at the deadline.
TEST_F(BodyTest, Http10CallerSeesThatBodyIsBrokenOff) {
  route_timeout_ = std::chrono::milliseconds(300);
  StartWith([](TestConnection& connection) {
    connection.ReadHead();
    connection.Write("HTTP/1.1 200 OK\r\n\r\nto the ");
    connection.ClosedByPeer();
  });
  TestConnection caller = Connect();
  caller.Write("GET /open HTTP/1.0\r\n\r\n");
  EXPECT_THAT(caller.ReadHead(), HasSubstr("200 OK"));
  caller.ReadAll();
  EXPECT_TRUE(caller.reset_by_peer());
}

// Guards against a response that is broken off at the deadline although all of
// it was received: it is delivered, also late.
TEST_F(BodyTest, ReceivedResponseIsDeliveredAfterTheDeadline) {
  constexpr size_t kSize = 8 * kMiB;
  route_timeout_ = std::chrono::milliseconds(500);
  std::atomic<bool> sent{false};
  StartWith([&sent](TestConnection& connection) {
    connection.ReadHead();
    connection.Write(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kSize) +
        "\r\n\r\n" + std::string(kSize, 'x'));
    sent = true;
    connection.ReadHead();
  });
  TestConnection caller = Connect();
  caller.Write(kGet);
  EXPECT_THAT(caller.ReadHead(), HasSubstr("200 OK"));
  // All but what fits into the buffers of the sockets.
  size_t received = caller.ReadExactly(kSize - kMiB / 4).size();
  ASSERT_TRUE(Eventually([&sent] { return sent.load(); }));
  std::this_thread::sleep_for(2 * route_timeout_);
  received += caller.ReadExactly(kMiB / 4).size();
  EXPECT_EQ(received, kSize);
}

// Guards against a caller that stops reading and holds a backend connection for
// ever.
TEST_F(BodyTest, StalledReaderIsDisconnected) {
  limits_.body_progress = std::chrono::milliseconds(200);
  std::atomic<bool> disconnected{false};
  StartWith([&disconnected](TestConnection& connection) {
    connection.ReadHead();
    connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n");
    connection.Write(std::string(64 * kMiB, 'x'));
    disconnected = connection.ClosedByPeer();
  });
  TestConnection caller = Connect();
  caller.Write(kGet);
  EXPECT_TRUE(Eventually([&disconnected] { return disconnected.load(); }));
}

enum class BodyFraming { kLength, kChunked, kUntilClose };

struct LongBody {
  const char* name;
  BodyFraming framing;
  /** The response is buffered at first, as on the platform. */
  bool is_buffered;
  /** Bytes of a write; 0 for one write. */
  size_t write_size;
};

class LongBodyTest : public DataPathTest,
                     public testing::WithParamInterface<LongBody> {
 protected:
  LongBodyTest() {
    http_profile_.buffers_responses = GetParam().is_buffered;
    route_timeout_ = std::chrono::seconds(20);
  }

  static std::string MakeBody(size_t size) {
    std::string body;
    for (size_t line = 0; body.size() < size; ++line)
      body += std::to_string(line) + "\n";
    return body.substr(0, size);
  }

  /** Head and body of a message, after `start`. */
  static std::string Message(std::string start,
                             const std::string& body,
                             BodyFraming framing) {
    if (framing == BodyFraming::kLength)
      start += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    if (framing != BodyFraming::kChunked)
      return start + "\r\n" + body;
    std::string message = start + "Transfer-Encoding: chunked\r\n\r\n";
    constexpr size_t kChunk = 4000;
    for (size_t begin = 0; begin < body.size(); begin += kChunk)
      AppendChunk(message, body.substr(begin, kChunk));
    return message + "0\r\n\r\n";
  }

  static void WriteInPieces(TestConnection& connection,
                            const std::string& bytes) {
    const size_t write_size = GetParam().write_size;
    if (write_size == 0) {
      connection.Write(bytes);
      return;
    }
    for (size_t begin = 0; begin < bytes.size(); begin += write_size)
      connection.Write(bytes.substr(begin, write_size));
  }

  /** The body of a message of which nothing is missing; empty otherwise. */
  static std::string ReadWholeBody(TestConnection& connection) {
    const ReceivedBody body = ReadBody(connection, connection.ReadHead());
    return body.is_whole ? body.bytes : "";
  }

  /**
   * Lengths around multiples of the 64 KiB that are buffered, with up to a read
   * of the socket (16 KiB) behind them, and some of no such kind.
   */
  static std::vector<size_t> Sizes() {
    std::vector<size_t> sizes = {1, 1000, 30000, 300000};
    for (const size_t begin : {kMaxBufferedBody, 2 * kMaxBufferedBody}) {
      for (const int more : {-1, 0, 1, 464, 8192, 14464, 16383, 16384, 16385})
        sizes.push_back(begin + static_cast<size_t>(more));
    }
    return sizes;
  }
};

// Guards against a response of just over 64 KiB that is cut there and looks
// complete (review/1), or never ends (review/4): bytes that were read together
// with the first 64 KiB were left behind when buffering went over to relaying.
TEST_P(LongBodyTest, ResponseArrivesWhole) {
  for (const size_t size : Sizes()) {
    SCOPED_TRACE(size);
    const std::string body = MakeBody(size);
    StartAgainWith([&body](TestConnection& connection) {
      connection.ReadHead();
      WriteInPieces(connection,
                    Message("HTTP/1.1 200 OK\r\n", body, GetParam().framing));
      if (GetParam().framing != BodyFraming::kUntilClose)
        connection.ReadHead();
    });
    TestConnection caller = Connect();
    caller.Write(kGet);
    const std::string received = ReadWholeBody(caller);
    ASSERT_EQ(received.size(), size);
    EXPECT_TRUE(received == body);
  }
}

// Guards against the same at the hand-over of a request's body.
TEST_P(LongBodyTest, RequestArrivesWhole) {
  if (GetParam().framing == BodyFraming::kUntilClose)
    return;  // No request ends like this.
  for (const size_t size : Sizes()) {
    SCOPED_TRACE(size);
    const std::string body = MakeBody(size);
    std::string received;
    StartAgainWith([&received](TestConnection& connection) {
      received = ReadWholeBody(connection);
      connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      connection.ReadHead();
    });
    TestConnection caller = Connect();
    WriteInPieces(caller, Message("POST /open HTTP/1.1\r\nHost: a\r\n", body,
                                  GetParam().framing));
    ASSERT_THAT(caller.ReadMessage(), EndsWith("ok"));
    EXPECT_EQ(received.size(), size);
    EXPECT_TRUE(received == body);
  }
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    LongBodyTest,
    testing::Values(
        LongBody{"Length", BodyFraming::kLength, true, 0},
        LongBody{"Chunked", BodyFraming::kChunked, true, 0},
        LongBody{"UntilClose", BodyFraming::kUntilClose, true, 0},
        LongBody{"LengthPieces", BodyFraming::kLength, true, 5000},
        LongBody{"ChunkedPieces", BodyFraming::kChunked, true, 5000},
        LongBody{"UntilClosePieces", BodyFraming::kUntilClose, true, 5000},
        LongBody{"LengthUnbuffered", BodyFraming::kLength, false, 0},
        LongBody{"ChunkedUnbuffered", BodyFraming::kChunked, false, 0},
        LongBody{"UntilCloseUnbuffered", BodyFraming::kUntilClose, false, 0}),
    [](const testing::TestParamInfo<LongBody>& info) {
      return info.param.name;
    });

}  // namespace
}  // namespace mangodoor
