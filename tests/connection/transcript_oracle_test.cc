#include "connection/transcript_oracle.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace mangodoor {
namespace {

using testing::Contains;
using testing::HasSubstr;
using testing::IsEmpty;

std::string Response(const std::string& id,
                     const std::string& body,
                     int status = 200) {
  return "HTTP/1.1 " + std::to_string(status) + " Reason\r\nX-Id: " + id +
         "\r\nX-Signed: 1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

std::string StatedError(const std::string& error, const std::string& outcome) {
  return "HTTP/1.1 502 Bad\r\nMangodoor-Error: " + error +
         "\r\nMangodoor-Outcome: " + outcome +
         "\r\nContent-Length: " + std::to_string(error.size() + 1) +
         "\r\n\r\n" + error + "\n";
}

/** Transcripts with a deliberate fault each. */
class TranscriptOracleTest : public testing::Test {
 protected:
  TranscriptOracleTest() {
    transcript_.requests.resize(2);
    transcript_.requests[0].method = CallerRequest::Method::kPost;
    transcript_.callers.push_back({{0, 1}, "", StreamEnd::kClosed});
    transcript_.servers.emplace_back();
  }

  /** A server receives request `index` and writes `bytes`. */
  void Receive(size_t index, const std::string& bytes) {
    const std::string id = RequestIdOf(index);
    const CallerRequest& request = transcript_.requests[index];
    ServerConnectionRecord& server = transcript_.servers.back();
    server.receipts.push_back({id,
                               MethodOf(request),
                               PathOf(request, id),
                               BodyOf(request, id),
                               true,
                               {server.bytes.size()}});
    server.bytes += bytes;
  }

  void ReceiveBoth() {
    Receive(0, Response("r0", "first"));
    Receive(1, Response("r1", "second"));
  }

  std::vector<std::string> CallerReads(const std::string& bytes) {
    transcript_.callers[0].bytes = bytes;
    return FindViolations(transcript_);
  }

  Transcript transcript_;
};

// Guards against an oracle that refuses correct transcripts.
TEST_F(TranscriptOracleTest, AcceptsOwnWholeResponses) {
  ReceiveBoth();
  EXPECT_THAT(CallerReads(Response("r0", "first") + Response("r1", "second")),
              IsEmpty());
  EXPECT_EQ(ForwardedResponses(transcript_), 2);
}

TEST_F(TranscriptOracleTest, AcceptsErrorsAndEnds) {
  ReceiveBoth();
  EXPECT_THAT(CallerReads(StatedError("backend_broken", "unknown") +
                          Response("r1", "second")),
              IsEmpty());
  EXPECT_THAT(CallerReads(Response("r0", "first") + "HTTP/1.1 200 Rea"),
              IsEmpty());
  EXPECT_THAT(CallerReads(Response("r0", "first").substr(0, 68)), IsEmpty());
  EXPECT_THAT(CallerReads(""), IsEmpty());
}

// Guards against an oracle that refuses the start of a response that is found
// to be broken only later.
TEST_F(TranscriptOracleTest, AcceptsStartOfResponseWithBrokenChunks) {
  const std::string start =
      "HTTP/1.1 200 Reason\r\nX-Id: r0\r\nX-Signed: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n";
  Receive(0, start + "zz\r\n");
  EXPECT_THAT(CallerReads(start), IsEmpty());
  EXPECT_THAT(CallerReads(start + "0\r\n\r\n"),
              Contains(HasSubstr("no server wrote")));
}

TEST_F(TranscriptOracleTest, NoticesResponseWithTwoLengths) {
  const std::string head = "HTTP/1.1 200 Reason\r\nX-Id: r0\r\nX-Signed: 1\r\n";
  Receive(0, head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nabc");
  EXPECT_THAT(CallerReads(head + "Content-Length: 2\r\n\r\na"),
              Contains(HasSubstr("no server wrote")));
}

// Guards against an oracle that accepts anything where responses have no ids.
TEST_F(TranscriptOracleTest, NoticesPartsOfResponsesWithoutIds) {
  transcript_.has_ids = false;
  ReceiveBoth();
  EXPECT_THAT(CallerReads(Response("r1", "second")), IsEmpty());
  EXPECT_THAT(CallerReads(Response("r0", "secon")),
              Contains(HasSubstr("no server wrote")));
  EXPECT_THAT(CallerReads(StatedError("backend_refused", "not-run")),
              Contains(HasSubstr("\"not run\"")));
}

TEST_F(TranscriptOracleTest, NoticesBodyOfOtherRequest) {
  ReceiveBoth();
  EXPECT_THAT(CallerReads(Response("r0", "second")),
              Contains(HasSubstr("no server wrote")));
  EXPECT_THAT(CallerReads(Response("r1", "second")),
              Contains(HasSubstr("without its id")));
}

TEST_F(TranscriptOracleTest, NoticesStartOfOtherBody) {
  ReceiveBoth();
  std::string start = Response("r0", "secon");
  start.pop_back();
  EXPECT_THAT(CallerReads(start), Contains(HasSubstr("no server wrote")));
}

TEST_F(TranscriptOracleTest, NoticesOtherStatus) {
  ReceiveBoth();
  EXPECT_THAT(CallerReads(Response("r0", "first", 201)),
              Contains(HasSubstr("no server wrote")));
}

TEST_F(TranscriptOracleTest, NoticesMissingByteBeforeNextResponse) {
  ReceiveBoth();
  std::string first = Response("r0", "first");
  first.pop_back();
  EXPECT_THAT(CallerReads(first + Response("r1", "second")),
              Contains(HasSubstr("no server wrote")));
}

// Guards against an incomplete response that looks complete.
TEST_F(TranscriptOracleTest, NoticesMissingByteBeforeClose) {
  transcript_.requests[0].is_http_10 = true;
  Receive(0, Response("r0", "first"));
  const std::string head =
      "HTTP/1.1 200 Reason\r\nX-Id: r0\r\nX-Signed: 1\r\n\r\n";
  EXPECT_THAT(CallerReads(head + "first"), IsEmpty());
  EXPECT_THAT(CallerReads(head + "firs"),
              Contains(HasSubstr("no server wrote")));
  transcript_.callers[0].end = StreamEnd::kReset;
  EXPECT_THAT(CallerReads(head + "firs"), IsEmpty());
}

TEST_F(TranscriptOracleTest, NoticesByteTooMany) {
  ReceiveBoth();
  EXPECT_THAT(
      CallerReads(Response("r0", "first") + "x" + Response("r1", "second")),
      Contains(HasSubstr("no response")));
  EXPECT_THAT(
      CallerReads(Response("r0", "first") + Response("r1", "second") + "x"),
      Contains(HasSubstr("bytes behind the response")));
}

TEST_F(TranscriptOracleTest, NoticesResponseWithNoRequestWaiting) {
  ReceiveBoth();
  EXPECT_THAT(CallerReads(Response("r0", "first") + Response("r1", "second") +
                          Response("r1", "second")),
              Contains(HasSubstr("bytes behind the response")));
}

TEST_F(TranscriptOracleTest, NoticesPartOfServerThatBrokeOff) {
  Receive(0, Response("r0", "first").substr(0, 68));
  EXPECT_THAT(CallerReads(Response("r0", "first")),
              Contains(HasSubstr("no server wrote")));
}

TEST_F(TranscriptOracleTest, NoticesUnsignedSuccess) {
  const std::string bytes =
      "HTTP/1.1 200 OK\r\nX-Id: r0\r\nContent-Length: 0\r\n\r\n";
  Receive(0, bytes);
  EXPECT_THAT(CallerReads(bytes), Contains(HasSubstr("signature")));
}

TEST_F(TranscriptOracleTest, NoticesErrorWithSignature) {
  Receive(0, "");
  std::string error = StatedError("backend_broken", "unknown");
  error.insert(error.find("\r\n") + 2, "X-Signed: 1\r\n");
  EXPECT_THAT(CallerReads(error), Contains(HasSubstr("with the signature")));
}

TEST_F(TranscriptOracleTest, NoticesNotRunForReceivedRequest) {
  EXPECT_THAT(CallerReads(StatedError("backend_refused", "not-run")),
              IsEmpty());
  Receive(0, "");
  EXPECT_THAT(CallerReads(StatedError("backend_refused", "not-run")),
              Contains(HasSubstr("\"not run\"")));
}

TEST_F(TranscriptOracleTest, NoticesRefusalOfOtherRequest) {
  const auto refusal = [](const std::string& id_field) {
    return "HTTP/1.1 503 Busy\r\n" + id_field +
           "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
  };
  const std::string error = StatedError("backend_refused", "not-run");
  Receive(0, refusal("X-Id: r0\r\n"));
  EXPECT_THAT(CallerReads(error), IsEmpty());
  for (const char* field : {"X-Id: r1\r\n", "", "X-Id: r0\r\nX-Id: r1\r\n"}) {
    transcript_.servers = {ServerConnectionRecord()};
    Receive(0, refusal(field));
    EXPECT_THAT(CallerReads(error), Contains(HasSubstr("\"not run\"")))
        << field;
  }
}

TEST_F(TranscriptOracleTest, NoticesErrorWithoutOutcome) {
  std::string error = StatedError("backend_broken", "unknown");
  const size_t field = error.find("Mangodoor-Outcome");
  error.erase(field, error.find("\r\n", field) + 2 - field);
  EXPECT_THAT(CallerReads(error), Contains(HasSubstr("without an outcome")));
}

TEST_F(TranscriptOracleTest, NoticesOutcomeOfServer) {
  Receive(0, Response("r0", "first"));
  std::string response = Response("r0", "first");
  response.insert(response.find("\r\n") + 2, "Mangodoor-Outcome: not-run\r\n");
  EXPECT_THAT(CallerReads(response), Contains(HasSubstr("with an outcome")));
}

TEST_F(TranscriptOracleTest, NoticesRequestThatRunsTwice) {
  Receive(0, Response("r0", "first"));
  Receive(0, Response("r0", "first"));
  EXPECT_THAT(CallerReads(Response("r0", "first")),
              Contains(HasSubstr("ran 2 times")));
  transcript_.requests[0].on_idempotent_route = true;
  transcript_.servers = {ServerConnectionRecord()};
  Receive(0, Response("r0", "first"));
  Receive(0, Response("r0", "first"));
  EXPECT_THAT(CallerReads(Response("r0", "first")), IsEmpty());
}

TEST_F(TranscriptOracleTest, NoticesChangedRequest) {
  ReceiveBoth();
  RequestReceipt& receipt = transcript_.servers[0].receipts[0];
  receipt.body = "x";
  EXPECT_THAT(CallerReads(""), Contains(HasSubstr("another body")));
  receipt.body = "";
  receipt.path = "/open/r0/other";
  EXPECT_THAT(CallerReads(""), Contains(HasSubstr("another method or path")));
  receipt.id = "r9";
  EXPECT_THAT(CallerReads(""), Contains(HasSubstr("no caller sent")));
}

TEST_F(TranscriptOracleTest, NoticesMissingEnd) {
  Receive(0, "");
  transcript_.callers[0].end = StreamEnd::kOpen;
  EXPECT_THAT(CallerReads(""), Contains(HasSubstr("in time")));
}

}  // namespace
}  // namespace mangodoor
