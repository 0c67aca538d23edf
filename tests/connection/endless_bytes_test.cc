#include <atomic>
#include <memory>
#include <thread>

#include "connection/data_path_fixture.h"
#include "connection/resident_memory.h"
#include "request/header_scan.h"
#include "request/io/body_reader.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using testing::AllOf;
using testing::AnyOf;
using testing::HasSubstr;
using testing::StartsWith;

constexpr size_t kCallers = 50;
// Enough for all callers at DataPathTest::kConnectionLimit connections each.
constexpr size_t kServers = 14;
constexpr size_t kPiece = 16 * 1024;
/** Bytes that one sender writes at most, so that a failing test ends. */
constexpr size_t kEndlessBytes = 4 * kMiB;
/**
 * Bound of what one connection may hold, four times its largest buffers: a
 * buffer doubles when it grows, and the test itself needs memory.
 */
constexpr size_t kMaxMemoryPerConnection =
    4 * (kMaxResponseHeader + kMaxBufferedBody + kMaxBodyFraming);
constexpr milliseconds kTimeLimit{1000};
/** Far beyond the end of every test. */
constexpr std::chrono::seconds kFarDeadline{60};
/** For a busy machine. */
constexpr std::chrono::seconds kMargin{4};

/** Bytes that are sent again and again behind `start`. */
struct EndlessBytes {
  const char* name;
  std::string start;
  std::string repeated;
};

std::string TestName(const testing::TestParamInfo<EndlessBytes>& info) {
  return info.param.name;
}

/** What the scripts of all servers count. */
struct ServerState {
  /** Connections that have received a request and are not closed. */
  std::atomic<int> busy{0};
};

/** Reads and drops bytes until the other side closes. */
void DropUntilClosed(TestConnection& connection) {
  while (connection.ReadSome())
    connection.ReadExactly(connection.buffer().size());
}

/** `text` repeated up to about the size of one write. */
std::string PieceOf(const std::string& text) {
  std::string piece = text;
  while (piece.size() + text.size() <= kPiece)
    piece += text;
  return piece;
}

/** Writes until the other side closes, or `max` bytes. */
void WriteEndless(TestConnection& connection,
                  const EndlessBytes& bytes,
                  size_t max = kEndlessBytes) {
  if (!connection.Write(bytes.start))
    return;
  const std::string piece = PieceOf(bytes.repeated);
  for (size_t written = 0; written < max; written += piece.size()) {
    if (!connection.Write(piece))
      return;
  }
}

class EndlessBytesTest : public DataPathTest {
 protected:
  EndlessBytesTest() {
    route_timeout_ = kTimeLimit;
    http_profile_.request_id = "X-Id";
    http_profile_.buffers_responses = true;
  }

  /** Starts servers that run `script` once a request has arrived. */
  void StartServers(const FakeServer::Script& script) {
    std::vector<Endpoint> endpoints;
    for (size_t i = 0; i < kServers; ++i) {
      fake_servers_.push_back(std::make_unique<FakeServer>(
          [script, state = state_](TestConnection& connection) {
            if (connection.ReadHead().empty())
              return;
            ++state->busy;
            script(connection);
            DropUntilClosed(connection);
            --state->busy;
          }));
      endpoints.push_back(fake_servers_.back()->endpoint());
    }
    Start(endpoints);
  }

  /** Runs `run` for each caller in a thread of its own. */
  void RunCallers(const std::function<void(TestConnection&, size_t)>& run) {
    std::vector<std::thread> threads;
    for (size_t i = 0; i < kCallers; ++i) {
      threads.emplace_back([this, &run, i] {
        TestConnection caller = Connect();
        run(caller, i);
      });
    }
    for (std::thread& thread : threads)
      thread.join();
  }

  static std::string Post(const std::string& id) {
    return "POST /open HTTP/1.1\r\nHost: a\r\nX-Id: " + id +
           "\r\nContent-Length: 0\r\n\r\n";
  }

  int OutstandingRequests() {
    OrderedLock lock(tables_.servers.mutex);
    int outstanding = 0;
    for (const auto& service : tables_.servers.pool.services) {
      for (const ServerEntry* server : service.second.servers)
        outstanding += server->outstanding;
    }
    return outstanding;
  }

  void ExpectNothingLeft() {
    EXPECT_TRUE(
        Eventually([this] { return listener_->running_requests() == 0; }));
    EXPECT_TRUE(
        Eventually([this] { return listener_->open_connections() == 0; }));
    EXPECT_TRUE(Eventually([this] { return OutstandingRequests() == 0; }));
  }

  /** The connections to the servers have been closed too. */
  void ExpectNoServerConnections() {
    EXPECT_TRUE(Eventually([this] { return state_->busy == 0; }));
  }

  /** Runs `act`, and expects it to end in time with little memory. */
  void ExpectBounded(Duration time_limit, const std::function<void()>& act) {
    const TimePoint start = clock_.Now();
    const MemoryGrowth growth;
    act();
    EXPECT_LE(Seconds(clock_.Now() - start), Seconds(time_limit + kMargin));
    EXPECT_LE(growth.highest(), kCallers * kMaxMemoryPerConnection);
  }

  std::shared_ptr<ServerState> state_ = std::make_shared<ServerState>();
  std::vector<std::unique_ptr<FakeServer>> fake_servers_;
};

constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n";

class EndlessResponseTest : public EndlessBytesTest,
                            public testing::WithParamInterface<EndlessBytes> {};

// Guards against memory and connections that grow with what servers send in
// place of a response.
TEST_P(EndlessResponseTest, EndsInStatedError) {
  StartServers([bytes = GetParam()](TestConnection& connection) {
    WriteEndless(connection, bytes);
  });
  ExpectBounded(kTimeLimit, [this] {
    RunCallers([](TestConnection& caller, size_t) {
      caller.Write(Post("a"));
      EXPECT_THAT(caller.ReadMessage(),
                  AllOf(AnyOf(HasSubstr("Mangodoor-Error: backend_broken"),
                              HasSubstr("Mangodoor-Error: backend_timeout")),
                        HasSubstr("Mangodoor-Outcome: unknown")));
    });
  });
  ExpectNothingLeft();
  ExpectNoServerConnections();
}

INSTANTIATE_TEST_SUITE_P(
    Responses,
    EndlessResponseTest,
    testing::Values(
        EndlessBytes{"Line", "", "x"},
        EndlessBytes{"Field", "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-Field: ", "x"},
        EndlessBytes{"Fields", "HTTP/1.1 200 OK\r\nX-Id: a\r\n",
                     "X-Field: x\r\n"},
        EndlessBytes{"Interim", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        EndlessBytes{"InterimWithId", "",
                     "HTTP/1.1 103 Hints\r\nX-Id: a\r\n\r\n"},
        EndlessBytes{"ChunkSize", kChunkedHead, "0"},
        EndlessBytes{"ChunkExtension", std::string(kChunkedHead) + "5;a=", "x"},
        EndlessBytes{"ChunkExtensions", std::string(kChunkedHead) + "5",
                     ";a=b"},
        EndlessBytes{"Trailer",
                     std::string(kChunkedHead) + "1\r\na\r\n0\r\nX-Sum: ", "x"},
        EndlessBytes{"Trailers", std::string(kChunkedHead) + "1\r\na\r\n0\r\n",
                     "X-Sum: x\r\n"}),
    TestName);

class EndlessExtraTest : public EndlessBytesTest,
                         public testing::WithParamInterface<EndlessBytes> {};

// Guards against extra responses to an earlier request that never end.
TEST_P(EndlessExtraTest, EndsInStatedError) {
  StartServers([bytes = GetParam()](TestConnection& connection) {
    connection.Write(
        "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n"
        "\r\nok");
    if (!connection.ReadMessage().empty())
      WriteEndless(connection, bytes);
  });
  ExpectBounded(kTimeLimit, [this] {
    // All callers have a response before one sends its second request, so that
    // each has a connection to a server that has answered "a".
    std::atomic<size_t> answered{0};
    RunCallers([&answered](TestConnection& caller, size_t) {
      caller.Write(Post("a"));
      EXPECT_THAT(caller.ReadMessage(), StartsWith("HTTP/1.1 200"));
      ++answered;
      EXPECT_TRUE(Eventually([&answered] { return answered == kCallers; }));
      caller.Write(Post("b"));
      EXPECT_THAT(caller.ReadMessage(),
                  AnyOf(HasSubstr("Mangodoor-Error: backend_broken"),
                        HasSubstr("Mangodoor-Error: backend_timeout"),
                        // On a new connection.
                        StartsWith("HTTP/1.1 502")));
    });
  });
  ExpectNothingLeft();
}

constexpr char kExtraHead[] = "HTTP/1.1 200 OK\r\nX-Id: a\r\n";

INSTANTIATE_TEST_SUITE_P(
    Responses,
    EndlessExtraTest,
    testing::Values(
        EndlessBytes{"Responses", "",
                     std::string(kExtraHead) + "Content-Length: 2\r\n\r\nok"},
        EndlessBytes{"EmptyResponses", "",
                     std::string(kExtraHead) + "Content-Length: 0\r\n\r\n"},
        EndlessBytes{
            "Length",
            std::string(kExtraHead) + "Content-Length: 999999999999\r\n\r\n",
            "x"},
        EndlessBytes{"UntilClose", std::string(kExtraHead) + "\r\n", "x"},
        EndlessBytes{
            "Chunks",
            std::string(kExtraHead) + "Transfer-Encoding: chunked\r\n\r\n",
            "1\r\nx\r\n"},
        EndlessBytes{
            "ChunkExtension",
            std::string(kExtraHead) + "Transfer-Encoding: chunked\r\n\r\n1;a=",
            "x"}),
    TestName);

class EndlessBodyTest : public EndlessBytesTest,
                        public testing::WithParamInterface<EndlessBytes> {
 protected:
  /** Reads and drops bytes until `end`; returns their number. */
  size_t ReadUntil(TestConnection& caller, TimePoint end) {
    size_t received = 0;
    for (size_t size = 1; size > 0 && clock_.Now() < end; received += size)
      size = caller.ReadExactly(kPiece).size();
    return received;
  }

  /** Servers send a body slowly enough that it outlasts the test. */
  void StartServersWithBody() {
    StartServers([bytes = GetParam()](TestConnection& connection) {
      connection.Write(bytes.start);
      const std::string piece = PieceOf(bytes.repeated);
      while (connection.Write(piece))
        std::this_thread::sleep_for(milliseconds(1));
    });
  }
};

// Guards against memory that grows with a body, and connections that remain
// after their caller has left long before the deadline.
TEST_P(EndlessBodyTest, EndsWhenCallerLeaves) {
  route_timeout_ = kFarDeadline;
  StartServersWithBody();
  ExpectBounded(2 * kTimeLimit, [this] {
    RunCallers([this](TestConnection& caller, size_t) {
      caller.Write(Post("a"));
      EXPECT_THAT(caller.ReadHead(), StartsWith("HTTP/1.1 200"));
      ReadUntil(caller, clock_.Now() + kTimeLimit);
      EXPECT_GT(ReadUntil(caller, clock_.Now() + kTimeLimit / 4), 0);
    });
  });
  ExpectNothingLeft();
  ExpectNoServerConnections();
}

// Guards against a body that goes on after the deadline of its request, until
// the caller leaves (review/5), and against one that then looks complete.
TEST_P(EndlessBodyTest, EndsAtDeadline) {
  StartServersWithBody();
  ExpectBounded(kTimeLimit, [this] {
    RunCallers([this](TestConnection& caller, size_t) {
      caller.Write(Post("a"));
      EXPECT_THAT(caller.ReadHead(), StartsWith("HTTP/1.1 200"));
      ReadUntil(caller, clock_.Now() + kTimeLimit + kMargin);
      EXPECT_TRUE(caller.reset_by_peer());
    });
  });
  // Counted after the reset that the caller sees.
  EXPECT_TRUE(Eventually(
      [this] { return ErrorCount(ErrorKind::kBackendTimeout) == kCallers; }));
  ExpectNothingLeft();
  ExpectNoServerConnections();
}

// Guards against a deadline that only a caller which reads at full speed gets:
// the instance waits for the caller, and not for the server.
TEST_P(EndlessBodyTest, EndsAtDeadlineOfSlowReader) {
  limits_.body_progress = kFarDeadline;
  StartServersWithBody();
  ExpectBounded(kTimeLimit, [this] {
    RunCallers([this](TestConnection& caller, size_t) {
      caller.Write(Post("a"));
      // The reset discards what the caller has not read, so it reads on only
      // once the instance has ended the connection.
      EXPECT_TRUE(Eventually([this] { return state_->busy > 0; }));
      EXPECT_TRUE(Eventually([this] { return state_->busy == 0; }));
      ReadUntil(caller, clock_.Now() + kMargin);
      EXPECT_TRUE(caller.reset_by_peer());
    });
  });
  ExpectNothingLeft();
  ExpectNoServerConnections();
}

// Guards against a body that stays in memory because its caller reads nothing.
TEST_P(EndlessBodyTest, EndsWhenCallerReadsNothing) {
  limits_.body_progress = kTimeLimit / 2;
  StartServersWithBody();
  ExpectBounded(2 * kTimeLimit, [this] {
    RunCallers([this](TestConnection& caller, size_t) {
      caller.Write(Post("a"));
      EXPECT_TRUE(Eventually([this] { return state_->busy > 0; }));
      EXPECT_TRUE(Eventually([this] { return state_->busy == 0; }));
    });
  });
  ExpectNothingLeft();
  ExpectNoServerConnections();
}

INSTANTIATE_TEST_SUITE_P(
    Bodies,
    EndlessBodyTest,
    testing::Values(
        EndlessBytes{"Length",
                     "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: "
                     "999999999999\r\n\r\n",
                     "x"},
        EndlessBytes{"Chunks", kChunkedHead,
                     "2000\r\n" + std::string(0x2000, 'x') + "\r\n"},
        EndlessBytes{"UntilClose", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n", "x"}),
    TestName);

// Guards against attempts that go on after their callers have left.
TEST_F(EndlessBytesTest, CallersThatLeaveEndAttempts) {
  StartServers([](TestConnection& connection) {
    WriteEndless(connection, {"", "", "HTTP/1.1 100 Continue\r\n\r\n"});
  });
  ExpectBounded(Duration::zero(), [this] {
    RunCallers([](TestConnection& caller, size_t i) {
      caller.Write(Post("a"));
      std::this_thread::sleep_for(milliseconds(i % 10));
    });
  });
  ExpectNothingLeft();
  ExpectNoServerConnections();
}

class EndlessRequestTest : public EndlessBytesTest,
                           public testing::WithParamInterface<EndlessBytes> {
 protected:
  EndlessRequestTest() {
    limits_.header = kTimeLimit;
    limits_.idle = kTimeLimit;
    limits_.body_progress = kTimeLimit;
    limits_.linger = kTimeLimit / 4;
  }
};

// Guards against memory and connections that grow with what callers send in
// place of a request.
TEST_P(EndlessRequestTest, IsRefused) {
  StartServers(RespondToAll("ok"));
  ExpectBounded(2 * kTimeLimit, [this] {
    RunCallers([](TestConnection& caller, size_t) {
      WriteEndless(caller, GetParam());
      EXPECT_THAT(caller.ReadAll(),
                  AnyOf("", HasSubstr("Mangodoor-Error: header_too_large"),
                        HasSubstr("Mangodoor-Error: malformed_request")));
      EXPECT_FALSE(caller.timed_out());
    });
  });
  EXPECT_EQ(ErrorCount(ErrorKind::kHeaderTooLarge) +
                ErrorCount(ErrorKind::kMalformedRequest),
            kCallers);
  ExpectNothingLeft();
}

constexpr char kChunkedPost[] =
    "POST /open HTTP/1.1\r\nHost: a\r\nX-Id: a\r\n"
    "Transfer-Encoding: chunked\r\n\r\n";

INSTANTIATE_TEST_SUITE_P(
    Requests,
    EndlessRequestTest,
    testing::Values(
        EndlessBytes{"RequestLine", "GET /open/", "x"},
        EndlessBytes{"Field",
                     "GET /open HTTP/1.1\r\nHost: a\r\nX-Field: ", "x"},
        EndlessBytes{"Fields", "GET /open HTTP/1.1\r\nHost: a\r\n",
                     "X-Field: x\r\n"},
        EndlessBytes{"ChunkSize", kChunkedPost, "0"},
        EndlessBytes{"ChunkExtension", std::string(kChunkedPost) + "1;a=", "x"},
        EndlessBytes{"Trailer",
                     std::string(kChunkedPost) + "1\r\na\r\n0\r\nX-Sum: ", "x"},
        EndlessBytes{"Trailers", std::string(kChunkedPost) + "1\r\na\r\n0\r\n",
                     "X-Sum: x\r\n"}),
    TestName);

// Guards against a caller that keeps a connection by sending empty lines, which
// are skipped before a request.
TEST_F(EndlessRequestTest, EmptyLinesEndWithIdleTime) {
  StartServers(RespondToAll("ok"));
  ExpectBounded(2 * kTimeLimit, [this] {
    RunCallers([](TestConnection& caller, size_t) {
      const std::string piece = PieceOf("\r\n");
      while (caller.Write(piece))
        std::this_thread::sleep_for(milliseconds(1));
    });
  });
  ExpectNothingLeft();
}

// Guards against responses that are kept for a caller that sends requests and
// reads nothing.
TEST_F(EndlessRequestTest, RequestsOfCallerThatReadsNothing) {
  StartServers([](TestConnection& connection) {
    const std::string response =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kPiece) +
        "\r\n\r\n" + std::string(kPiece, 'x');
    do {
      connection.Write(response);
    } while (!connection.ReadHead().empty());
  });
  ExpectBounded(3 * kTimeLimit, [this] {
    RunCallers([](TestConnection& caller, size_t) {
      const std::string piece = PieceOf(kGet);
      while (caller.Write(piece)) {
      }
    });
  });
  ExpectNothingLeft();
}

// Guards against a body of a caller that is kept for a server that reads
// nothing, and against one without end.
TEST_F(EndlessRequestTest, BodyEndsWithDeadline) {
  StartServers([](TestConnection&) {
    std::this_thread::sleep_for(kTimeLimit + kTimeLimit / 2);
  });
  ExpectBounded(2 * kTimeLimit, [this] {
    RunCallers([](TestConnection& caller, size_t) {
      WriteEndless(caller, {"", kChunkedPost, "4\r\nbody\r\n"});
      caller.ReadAll();
      EXPECT_FALSE(caller.timed_out());
    });
  });
  ExpectNothingLeft();
  ExpectNoServerConnections();
}

}  // namespace
}  // namespace mangodoor
