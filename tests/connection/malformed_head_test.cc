#include <string>
#include <vector>

#include "connection/broken_server_fixture.h"
#include "connection/invalid_statuses.h"

namespace mangodoor {
namespace {

using testing::AllOf;
using testing::EndsWith;
using testing::HasSubstr;
using testing::StartsWith;

/** Servers whose heads are no head of HTTP, for buffered and relayed bodies. */
class MalformedHeadTest : public SigningServerTest,
                          public testing::WithParamInterface<bool> {
 protected:
  MalformedHeadTest() { http_profile_.buffers_responses = GetParam(); }

  static std::string HeadWith(const std::string& status,
                              const std::string& lines) {
    return "HTTP/1.1 " + status + " Reason\r\nX-Signed: 1\r\nX-Id: one\r\n" +
           lines;
  }

  /** The caller's response to a POST that a server answers with `bytes`. */
  std::string ResponseTo(const std::string& bytes) {
    StartAgainWith([bytes](TestConnection& connection) {
      connection.ReadMessage();
      connection.Write(bytes);
      connection.ReadMessage();
    });
    TestConnection caller = Connect();
    caller.Write(Post("one"));
    return caller.ReadMessage();
  }

  static auto IsBrokenAnswer() {
    return AllOf(StartsWith("HTTP/1.1 502"),
                 HasSubstr("Mangodoor-Error: backend_broken"),
                 HasSubstr("Mangodoor-Outcome: unknown"));
  }
};

INSTANTIATE_TEST_SUITE_P(Bodies,
                         MalformedHeadTest,
                         testing::Bool(),
                         [](const testing::TestParamInfo<bool>& info) {
                           return info.param ? "Buffered" : "Relayed";
                         });

// Guards against a status that HTTP does not have in the response that a caller
// gets, and against one below 100 that passes for an interim response
// (RFC 9110, section 15).
TEST_P(MalformedHeadTest, InvalidStatusReachesNoCaller) {
  uint64_t count = 0;
  for (const char* status : kInvalidStatuses) {
    SCOPED_TRACE(status);
    EXPECT_THAT(ResponseTo(HeadWith(status, "Content-Length: 2\r\n\r\nno")),
                IsBrokenAnswer());
    EXPECT_EQ(FaultCount(ResponseFault::kMalformedHead), ++count);
  }
}

// Guards against bytes behind a head that is refused: they belong to no
// request, although they form a response to this one.
TEST_P(MalformedHeadTest, NothingBehindAnInvalidStatusIsForwarded) {
  const std::string forged = SignedResponse("one", "forged");
  const std::string length =
      "Content-Length: " + std::to_string(forged.size()) + "\r\n";
  for (const char* status : kInvalidStatuses) {
    for (const std::string& lines : {std::string(), length}) {
      SCOPED_TRACE(status + lines);
      std::string bytes = HeadWith(status, lines);
      bytes += "\r\n";
      bytes += forged;
      EXPECT_THAT(ResponseTo(bytes), IsBrokenAnswer());
    }
  }
}

// Guards against a second use of a connection whose server has sent a head
// with an invalid status.
TEST_P(MalformedHeadTest, InvalidStatusClosesConnection) {
  StartWith([this](TestConnection& connection) {
    connection.ReadMessage();
    if (++received_ == 1) {
      connection.Write(HeadWith("000", "Content-Length: 0\r\n\r\n"));
      connection.ReadMessage();
    }
    connection.Write(SignedResponse("two", "second"));
  });
  TestConnection caller = Connect();
  caller.Write(Post("one"));
  EXPECT_THAT(caller.ReadMessage(), IsBrokenAnswer());
  caller.Write(Request("two", "/open"));
  EXPECT_THAT(caller.ReadMessage(), EndsWith("second"));
  EXPECT_EQ(server_->connections(), 2);
}

// Guards against an error for a request that another server can answer.
TEST_P(MalformedHeadTest, InvalidStatusIsRetriedElsewhere) {
  for (const char* status : kInvalidStatuses) {
    SCOPED_TRACE(status);
    received_ = 0;
    const FakeServer::Script script = [&](TestConnection& connection) {
      while (!connection.ReadMessage().empty())
        connection.Write(++received_ == 1
                             ? HeadWith(status, "Content-Length: 0\r\n\r\n")
                             : SignedResponse("one", "good"));
    };
    FakeServer first(script);
    FakeServer second(script);
    StartAgainWith({first.endpoint(), second.endpoint()});
    TestConnection caller = Connect();
    caller.Write(Request("one", "/idempotent"));
    EXPECT_THAT(caller.ReadMessage(), EndsWith("good"));
    EXPECT_EQ(received_, 2);
  }
}

// Guards against an invalid status that is skipped because it states the id of
// an earlier request.
TEST_P(MalformedHeadTest, InvalidStatusOfAnExtraResponseIsNotSkipped) {
  for (const char* status : kInvalidStatuses) {
    SCOPED_TRACE(status);
    StartAgainWith([status](TestConnection& connection) {
      connection.ReadMessage();
      connection.Write(SignedResponse("one", "first"));
      connection.ReadMessage();
      connection.Write(HeadWith(status, "Content-Length: 0\r\n\r\n") +
                       SignedResponse("two", "second"));
      connection.ReadMessage();
    });
    TestConnection caller = Connect();
    caller.Write(Post("one"));
    EXPECT_THAT(caller.ReadMessage(), EndsWith("first"));
    caller.Write(Post("two"));
    EXPECT_THAT(caller.ReadMessage(), IsBrokenAnswer());
  }
}

// Guards against a sound response that is taken for a malformed one: any status
// from 200 to 599, also behind interim responses.
TEST_P(MalformedHeadTest, EveryFinalStatusIsForwarded) {
  constexpr int kFirstFinal = 200;
  constexpr int kEndOfFinal = 600;
  constexpr int kStep = 7;
  std::vector<int> statuses = {kEndOfFinal - 1};
  for (int status = kFirstFinal; status < kEndOfFinal; status += kStep)
    statuses.push_back(status);
  for (const int status : statuses) {
    const std::string text = std::to_string(status);
    SCOPED_TRACE(text);
    EXPECT_THAT(ResponseTo("HTTP/1.1 100 Continue\r\nX-Id: one\r\n\r\n"
                           "HTTP/1.1 199 Interim\r\nX-Id: one\r\n\r\n" +
                           HeadWith(text, "Content-Length: 2\r\n\r\nok")),
                AllOf(StartsWith("HTTP/1.1 " + text + " "), EndsWith("ok")));
  }
}

// Guards against a line that is passed on, or bytes behind it that are, if a
// server writes a blank, a control byte or one beyond ASCII into the name of a
// field, folds a line, or leaves out the colon. Reported of other systems.
TEST_P(MalformedHeadTest, InvalidFieldReachesNoCaller) {
  const std::string forged = SignedResponse("one", "forged");
  std::vector<std::string> lines = {"X-Folded: a\r\n b", "X-No-Colon",
                                    "X-Value: a\x01z", "X-Value: a\x7fz",
                                    std::string("X-Value: a\0z", 12)};
  for (const char byte : {' ', '\t', '\0', '\x01', '\x02', '\x0b', '\x0c',
                          '\x0d', '\x1f', '\x7f', '\x80'}) {
    lines.push_back(std::string(1, byte) + "X-Name: a");
    lines.push_back(std::string("X-Na") + byte + "me: a");
    lines.push_back(std::string("X-Name") + byte + ": a");
  }
  uint64_t count = 0;
  for (const std::string& line : lines) {
    SCOPED_TRACE(testing::PrintToString(line));
    std::string bytes = HeadWith("200", line);
    bytes += "\r\nContent-Length: 2\r\n\r\nno";
    bytes += forged;
    EXPECT_THAT(ResponseTo(bytes), IsBrokenAnswer());
    EXPECT_EQ(FaultCount(ResponseFault::kMalformedHead), ++count);
  }
}

// The same in a response whose other fields state that the request did not run:
// nothing of such a head is believed.
TEST_P(MalformedHeadTest, RefusalWithInvalidFieldPromisesNothing) {
  for (const char byte : {' ', '\x01', '\x7f'}) {
    SCOPED_TRACE(static_cast<int>(byte));
    EXPECT_THAT(ResponseTo(HeadWith(
                    "503", "X-Not-Run: 1\r\nX-Na" + std::string(1, byte) +
                               "me: a\r\nContent-Length: 0\r\n\r\n")),
                IsBrokenAnswer());
  }
}

// The same in a trailer, where the caller's response must not look complete.
TEST_P(MalformedHeadTest, InvalidTrailerEndsNoBody) {
  for (const char byte : {' ', '\t', '\0', '\x01', '\x1f', '\x7f', '\x80'}) {
    SCOPED_TRACE(static_cast<int>(byte));
    std::string bytes = HeadWith("200",
                                 "Transfer-Encoding: chunked\r\n\r\n"
                                 "2\r\nno\r\n0\r\nX-Na");
    bytes += byte;
    bytes += "me: a\r\n\r\n";
    StartAgainWith([bytes](TestConnection& connection) {
      connection.ReadMessage();
      connection.Write(bytes);
      connection.ReadMessage();
    });
    TestConnection caller = Connect();
    caller.Write(
        "POST /open HTTP/1.1\r\nHost: a\r\nX-Id: one\r\n"
        "Connection: close\r\nContent-Length: 0\r\n\r\n");
    EXPECT_FALSE(LooksLikeSuccess(ReadResponse(caller)));
  }
}

}  // namespace
}  // namespace mangodoor
