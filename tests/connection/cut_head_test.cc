#include "connection/broken_server_fixture.h"

namespace mangodoor {
namespace {

using testing::AllOf;
using testing::EndsWith;
using testing::HasSubstr;
using testing::StartsWith;

/** What a server writes before the head that it does not finish. */
struct BeforeCutHead {
  const char* name;
  std::string bytes;
};

class CutHeadTest : public SigningServerTest,
                    public testing::WithParamInterface<BeforeCutHead> {
 protected:
  // In another order of the fields, a cut would leave out other ones.
  static constexpr char kHead[] =
      "HTTP/1.1 200 OK\r\nX-Id: b\r\nContent-Length: 5\r\nX-Signed: 1\r\n"
      "Transfer: no\r\n\r\n";

  /**
   * A server that answers "a", and writes `size` bytes of the head of its
   * answer to "b" on the same connection. On other connections it answers "b"
   * in full after a pause if `recovers`, else it cuts these answers too.
   */
  FakeServer::Script CutAt(size_t size, bool reset, bool recovers) {
    return [this, size, reset, recovers](TestConnection& connection) {
      for (std::string head; !(head = connection.ReadMessage()).empty();) {
        if (head.find("X-Id: a") != std::string::npos) {
          connection.Write(SignedResponse("a", "first"));
          continue;
        }
        if (++received_ > 1 && recovers) {
          connection.Write(SignedResponse("b", "whole"));
          continue;
        }
        connection.Write(GetParam().bytes + std::string(kHead).substr(0, size));
        if (reset)
          connection.Reset();
        return;
      }
    };
  }

  std::string AnswerToSecond(const std::string& request) {
    TestConnection caller = Connect();
    caller.Write(Post("a"));
    EXPECT_THAT(caller.ReadMessage(), EndsWith("first"));
    caller.Write(request);
    const std::string head = caller.ReadHead();
    return request.rfind("HEAD", 0) == 0 ? head : head + caller.ReadExactly(5);
  }
};

// Guards against a success with an empty or short body, framed as whole, for a
// head that a server does not finish: on a connection that was used before,
// behind an interim or an extra response, and for HEAD. Reported by operators
// of another system.
TEST_P(CutHeadTest, IsNoSuccess) {
  const std::string head_request =
      "HEAD /open HTTP/1.1\r\nHost: a\r\nX-Id: b\r\n\r\n";
  size_t received = 0;
  for (size_t size = 1; size < sizeof(kHead) - 1; size += 2) {
    for (const bool reset : {false, true}) {
      for (const std::string& request : {Post("b"), head_request}) {
        SCOPED_TRACE(std::to_string(size) + (reset ? " reset " : " closed ") +
                     request);
        received_ = 0;
        StartAgainWith(CutAt(size, reset, false));
        EXPECT_THAT(AnswerToSecond(request),
                    AllOf(StartsWith("HTTP/1.1 502"),
                          HasSubstr("Mangodoor-Outcome: unknown")));
        received += static_cast<size_t>(received_);
      }
    }
  }
  EXPECT_GE(received, 2 * sizeof(kHead) - 4);
}

// Guards against bytes of an unfinished head in the response of the server that
// the request is sent to next.
TEST_P(CutHeadTest, RetryGetsTheWholeResponse) {
  for (size_t size = 1; size < sizeof(kHead) - 1; size += 2) {
    for (const bool reset : {false, true}) {
      SCOPED_TRACE(std::to_string(size) + (reset ? " reset" : " closed"));
      received_ = 0;
      StartAgainWith(CutAt(size, reset, true));
      EXPECT_THAT(AnswerToSecond(Request("b", "/idempotent")),
                  AllOf(StartsWith("HTTP/1.1 200"), EndsWith("whole")));
      EXPECT_EQ(received_, 2);
    }
  }
}

INSTANTIATE_TEST_SUITE_P(
    Before,
    CutHeadTest,
    testing::Values(
        BeforeCutHead{"Nothing", ""},
        BeforeCutHead{"Interim", "HTTP/1.1 103 Hints\r\nX-Id: b\r\n\r\n"},
        BeforeCutHead{"Extra",
                      "HTTP/1.1 200 OK\r\nX-Signed: 1\r\nX-Id: a\r\n"
                      "Content-Length: 5\r\n\r\nagain"}),
    [](const testing::TestParamInfo<BeforeCutHead>& info) {
      return info.param.name;
    });

}  // namespace
}  // namespace mangodoor
