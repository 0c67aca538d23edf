#include <atomic>
#include <memory>

#include "connection/data_path_fixture.h"

namespace mangodoor {
namespace {

using testing::StartsWith;

// Far more than a connection may hold, and few enough to send in a moment.
constexpr size_t kEndlessBytes = 16 * 1024 * 1024;
constexpr size_t kPiece = 64 * 1024;

/** Bytes that were written before the other side closed the connection. */
size_t WriteUntilClosed(TestConnection& connection, const std::string& start) {
  connection.Write(start);
  const std::string piece(kPiece, 'x');
  size_t written = 0;
  while (written < kEndlessBytes && connection.Write(piece))
    written += kPiece;
  return written;
}

class EndlessFramingTest : public DataPathTest {
 protected:
  std::shared_ptr<std::atomic<size_t>> written_ =
      std::make_shared<std::atomic<size_t>>(0);
};

constexpr char kChunkedHead[] =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr char kClosingPost[] =
    "POST /open HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
    "Content-Length: 0\r\n\r\n";

// Guards against memory that grows with an endless chunk extension or trailer
// of a server until the request's deadline.
TEST_F(EndlessFramingTest, ServerIsCutOff) {
  for (const char* framing : {"5;a=", "5\r\nhello\r\n0\r\nX-Trailer: "}) {
    SCOPED_TRACE(framing);
    *written_ = kEndlessBytes;
    StartAgainWith([written = written_, framing](TestConnection& connection) {
      if (!connection.ReadMessage().empty())
        *written =
            WriteUntilClosed(connection, std::string(kChunkedHead) + framing);
    });
    Exchange(kClosingPost);
    EXPECT_TRUE(Eventually([this] { return *written_ < kEndlessBytes; }));
    EXPECT_EQ(ErrorCount(ErrorKind::kBackendTimeout), 0);
  }
  EXPECT_EQ(FaultCount(ResponseFault::kMalformedBody), 2);
}

// Guards against memory that grows with an endless chunk extension or trailer
// of a caller.
TEST_F(EndlessFramingTest, CallerIsRefused) {
  StartWith(RespondToAll("ok"));
  for (const char* framing : {"5;a=", "5\r\nhello\r\n0\r\nX-Trailer: "}) {
    SCOPED_TRACE(framing);
    TestConnection caller = Connect();
    caller.Write(std::string("POST /open HTTP/1.1\r\nHost: a\r\n"
                             "Transfer-Encoding: chunked\r\n\r\n") +
                 framing + std::string(kPiece, 'x'));
    EXPECT_THAT(caller.ReadAll(), StartsWith("HTTP/1.1 400"));
  }
}

}  // namespace
}  // namespace mangodoor
