#include <array>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "connection/data_path_fixture.h"

namespace mangodoor {
namespace {

using testing::AllOf;
using testing::EndsWith;
using testing::HasSubstr;
using testing::StartsWith;

// More than the buffers of the sockets between a caller and a server hold.
constexpr size_t kUploadSize = 6 * 1024 * 1024;
constexpr size_t kUploadChunk = 16 * 1024;

// Bodies that are buffered before the head is forwarded, if the interface asks
// for that, and one that is relayed.
constexpr std::array<size_t, 4> kBodySizes{0, 10, 40'000, 90'000};

// Which operation learns of a reset first depends on timing.
constexpr int kRepetitions = 5;

// Long enough for the buffers of the sockets to be full.
constexpr std::chrono::milliseconds kFillTime{20};

// Longer than the delay of a hedge.
constexpr std::chrono::milliseconds kSlow{300};

constexpr char kUnendedHead[] = "HTTP/1.1 200 OK\r\n\r\n";

enum class UploadForm { kLength, kChunked, kHttp10 };

/** An upload, and whether the interface buffers the start of responses. */
struct UploadCase {
  const char* name;
  UploadForm form;
  bool buffers_responses;
};

std::string UploadHead(UploadForm form) {
  const std::string head =
      std::string("POST /open ") +
      (form == UploadForm::kHttp10 ? "HTTP/1.0" : "HTTP/1.1") +
      "\r\nHost: a\r\nConnection: close\r\n";
  return head +
         (form == UploadForm::kChunked
              ? "Transfer-Encoding: chunked\r\n\r\n"
              : "Content-Length: " + std::to_string(kUploadSize) + "\r\n\r\n");
}

std::string UploadBody(UploadForm form) {
  if (form != UploadForm::kChunked)
    return std::string(kUploadSize, 'u');
  const std::string chunk =
      "4000\r\n" + std::string(kUploadChunk, 'u') + "\r\n";
  std::string body;
  for (size_t sent = 0; sent < kUploadSize; sent += kUploadChunk)
    body += chunk;
  return body + "0\r\n\r\n";
}

bool IsWhole(const ParsedResponse& response, size_t body_size) {
  return LooksLikeSuccess(response) && response.body.size() == body_size;
}

/**
 * True if `response` promises nothing: it is broken off, or states that the
 * outcome is unknown.
 */
bool PromisesNothing(const ParsedResponse& response) {
  return response.state != ParsedResponse::State::kComplete ||
         (response.status == 502 && ValuesOf(response, "Mangodoor-Outcome") ==
                                        std::vector<std::string>{"unknown"});
}

/** Ends a connection on which the head of a request was read. */
using EndConnection = std::function<void(TestConnection&, const std::string&)>;

void Reset(TestConnection& connection, const std::string& /*head*/) {
  connection.Reset();
}

void EndStreamAndRead(TestConnection& connection, const std::string& head) {
  connection.ShutdownSend();
  ReadBody(connection, head);
}

/**
 * Answers the head of a request with a body of `size` bytes, whose end is that
 * of the connection, and calls `end`.
 */
FakeServer::Script AnswerUnread(size_t size, EndConnection end) {
  return [size, end = std::move(end)](TestConnection& connection) {
    const std::string head = connection.ReadHead();
    connection.Write(kUnendedHead + std::string(size, 'x'));
    end(connection, head);
  };
}

/** Servers that answer an upload before they have read it. */
class EarlyResponseTest : public DataPathTest,
                          public testing::WithParamInterface<UploadCase> {
 protected:
  EarlyResponseTest() {
    http_profile_.buffers_responses = GetParam().buffers_responses;
  }

  /** Sends the upload to a server that runs `script`. */
  ParsedResponse Upload(FakeServer::Script script) {
    StartAgainWith(std::move(script));
    TestConnection caller = Connect();
    caller.Write(UploadHead(GetParam().form) + UploadBody(GetParam().form));
    return ReadResponse(caller);
  }
};

// Guards against a part of a response that a caller gets as the whole of it,
// since the write of the upload is told of the reset in place of the read
// (docs/design.md 1.2, I6).
TEST_P(EarlyResponseTest, ResetIsNoEndOfTheBody) {
  for (const size_t size : kBodySizes) {
    for (int i = 0; i < kRepetitions; ++i) {
      SCOPED_TRACE(size);
      EXPECT_TRUE(PromisesNothing(Upload(AnswerUnread(size, Reset))));
    }
  }
}

// The same if the reset comes while the write already waits for the server.
TEST_P(EarlyResponseTest, LateResetIsNoEndOfTheBody) {
  for (const size_t size : kBodySizes) {
    SCOPED_TRACE(size);
    EXPECT_TRUE(PromisesNothing(Upload(AnswerUnread(
        size, [](TestConnection& connection, const std::string& head) {
          std::this_thread::sleep_for(kFillTime);
          Reset(connection, head);
        }))));
  }
}

// The same between the last write of the upload and the end of the body.
TEST_P(EarlyResponseTest, ResetAfterTheUploadIsNoEndOfTheBody) {
  for (const size_t size : kBodySizes) {
    SCOPED_TRACE(size);
    EXPECT_TRUE(PromisesNothing(Upload([size](TestConnection& connection) {
      ReadBody(connection, connection.ReadHead());
      connection.Write(kUnendedHead + std::string(size, 'x'));
      connection.Reset();
    })));
  }
}

// Guards against a sound early response that is taken for a broken one: the
// server closes its sending side, and reads the upload.
TEST_P(EarlyResponseTest, ClosedSendingSideEndsTheBody) {
  for (const size_t size : kBodySizes) {
    SCOPED_TRACE(size);
    EXPECT_TRUE(IsWhole(Upload(AnswerUnread(size, EndStreamAndRead)), size));
  }
}

// The same if the server resets the connection behind the end of its response,
// as it does if it closes it while more of the upload arrives.
TEST_P(EarlyResponseTest, ResetBehindTheEndOfTheBodyDoesNotCount) {
  for (const size_t size : kBodySizes) {
    SCOPED_TRACE(size);
    const ParsedResponse response = Upload(AnswerUnread(
        size, [](TestConnection& connection, const std::string& head) {
          connection.ShutdownSend();
          EXPECT_TRUE(connection.WaitUntilAcknowledged());
          Reset(connection, head);
        }));
    EXPECT_TRUE(IsWhole(response, size));
  }
}

TEST_P(EarlyResponseTest, CloseAfterTheUploadEndsTheBody) {
  for (const size_t size : kBodySizes) {
    SCOPED_TRACE(size);
    const ParsedResponse response = Upload([size](TestConnection& connection) {
      ReadBody(connection, connection.ReadHead());
      connection.Write(kUnendedHead + std::string(size, 'x'));
    });
    EXPECT_TRUE(IsWhole(response, size));
  }
}

TEST_P(EarlyResponseTest, StatedEndNeedsNoEndOfTheConnection) {
  for (const size_t size : kBodySizes) {
    SCOPED_TRACE(size);
    const ParsedResponse response = Upload([size](TestConnection& connection) {
      const std::string head = connection.ReadHead();
      connection.Write(
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(size) +
          "\r\n\r\n" + std::string(size, 'x'));
      ReadBody(connection, head);
      connection.ReadHead();
    });
    EXPECT_TRUE(IsWhole(response, size)) << response.body.size();
  }
}

// Guards against a caller that must finish its upload to get a response.
TEST_P(EarlyResponseTest, UnfinishedUploadGetsTheResponse) {
  constexpr size_t kSent = 1024 * 1024;
  for (const size_t size : kBodySizes) {
    SCOPED_TRACE(size);
    StartAgainWith(AnswerUnread(size, EndStreamAndRead));
    TestConnection caller = Connect();
    caller.Write(UploadHead(GetParam().form) +
                 UploadBody(GetParam().form).substr(0, kSent));
    EXPECT_TRUE(IsWhole(ReadResponse(caller), size));
  }
}

INSTANTIATE_TEST_SUITE_P(
    Uploads,
    EarlyResponseTest,
    testing::Values(
        UploadCase{"WithLength", UploadForm::kLength, true},
        UploadCase{"InChunks", UploadForm::kChunked, true},
        UploadCase{"OfHttp10", UploadForm::kHttp10, true},
        UploadCase{"WithLengthUnbuffered", UploadForm::kLength, false},
        UploadCase{"InChunksUnbuffered", UploadForm::kChunked, false},
        UploadCase{"OfHttp10Unbuffered", UploadForm::kHttp10, false}),
    [](const testing::TestParamInfo<UploadCase>& info) {
      return info.param.name;
    });

/** Servers that reset a connection with no upload under way. */
class ResetResponseTest : public DataPathTest {
 protected:
  ResetResponseTest() {
    http_profile_.buffers_responses = true;
    AllowFleetRetries();
  }

  static std::string ShortPost(const char* path) {
    return std::string("POST ") + path +
           " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
           "Content-Length: 3\r\n\r\nabc";
  }
};

// Guards against a reset that is taken for the end of a body after the whole
// request was sent, on a new and on a reused connection.
TEST_F(ResetResponseTest, ResetAfterTheRequestIsNoEndOfTheBody) {
  for (const bool reused : {false, true}) {
    for (const size_t size : kBodySizes) {
      SCOPED_TRACE(std::to_string(size) + (reused ? " reused" : " new"));
      StartAgainWith([reused, size](TestConnection& connection) {
        connection.ReadMessage();
        if (reused) {
          connection.Write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
          connection.ReadMessage();
        }
        connection.Write(kUnendedHead + std::string(size, 'x'));
        connection.Reset();
      });
      if (reused) {
        EXPECT_THAT(Exchange(ShortPost("/open")), EndsWith("ok"));
      }
      TestConnection caller = Connect();
      caller.Write(ShortPost("/open"));
      EXPECT_FALSE(LooksLikeSuccess(ReadResponse(caller)));
    }
  }
}

// The same if the request is still being sent.
TEST_F(ResetResponseTest, ResetBeforeTheRequestIsNoEndOfTheBody) {
  for (const size_t size : kBodySizes) {
    SCOPED_TRACE(size);
    StartAgainWith([size](TestConnection& connection) {
      connection.Write(kUnendedHead + std::string(size, 'x'));
      connection.Reset();
    });
    TestConnection caller = Connect();
    caller.Write(ShortPost("/open"));
    EXPECT_FALSE(LooksLikeSuccess(ReadResponse(caller)));
  }
}

// Guards against a hedge that is reset and replaces the response of the first
// attempt.
TEST_F(ResetResponseTest, ResetHedgeLeavesTheFirstResponse) {
  std::atomic<int> received{0};
  const FakeServer::Script script = [&received](TestConnection& connection) {
    if (connection.ReadMessage().empty())
      return;
    if (++received == 1) {
      std::this_thread::sleep_for(kSlow);
      connection.Write(kUnendedHead + std::string("whole"));
      return;
    }
    connection.Write(kUnendedHead + std::string("part"));
    connection.Reset();
  };
  FakeServer one(script);
  FakeServer other(script);
  Start({one.endpoint(), other.endpoint()});
  RecordFastResponses(200);
  TestConnection caller = Connect();
  caller.Write(
      "GET /idempotent HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
  EXPECT_EQ(ReadResponse(caller).body, "whole");
  EXPECT_EQ(tables_.counters.hedges, 1);
}

// Guards against a promise that an upload did not run, or a second run of it,
// after a reset.
TEST_F(ResetResponseTest, ResetUploadMayHaveRun) {
  StartWith([](TestConnection& connection) {
    connection.ReadMessage();
    connection.Write(kUnendedHead);
    connection.Reset();
  });
  EXPECT_THAT(Exchange(ShortPost("/open")),
              AllOf(StartsWith("HTTP/1.1 502"),
                    HasSubstr("Mangodoor-Outcome: unknown")));
  EXPECT_EQ(server_->connections(), 1);
}

// Guards against an error for a request that may be sent to another server.
TEST_F(ResetResponseTest, IdempotentRequestGoesElsewhere) {
  std::atomic<int> received{0};
  const FakeServer::Script script = [&received](TestConnection& connection) {
    if (connection.ReadMessage().empty())
      return;
    const bool first = ++received == 1;
    connection.Write(kUnendedHead + std::string(first ? "part" : "whole"));
    if (first)
      connection.Reset();
  };
  FakeServer one(script);
  FakeServer other(script);
  Start({one.endpoint(), other.endpoint()});
  TestConnection caller = Connect();
  caller.Write(ShortPost("/idempotent"));
  EXPECT_EQ(ReadResponse(caller).body, "whole");
  EXPECT_EQ(received, 2);
}

}  // namespace
}  // namespace mangodoor
