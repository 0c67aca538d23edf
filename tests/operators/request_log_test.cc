#include "request/io/request_log.h"

#include <fcntl.h>
#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <nlohmann/json.hpp>
#include <sstream>

#include "process/fake_clock.h"
#include "process/io/log.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::HasSubstr;

std::vector<nlohmann::json> Lines(const std::string& text) {
  std::vector<nlohmann::json> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);)
    lines.push_back(nlohmann::json::parse(line));
  return lines;
}

// Replaces standard output by a pipe during its lifetime.
class OutputPipe {
 public:
  OutputPipe() : output_(dup(STDOUT_FILENO)) {
    if (pipe(ends_.data()) != 0)
      throw std::runtime_error("no pipe");
    dup2(ends_[1], STDOUT_FILENO);
    fcntl(ends_[0], F_SETFL, O_NONBLOCK);
  }
  ~OutputPipe() {
    dup2(output_, STDOUT_FILENO);
    close(output_);
    close(ends_[0]);
    close(ends_[1]);
  }

  std::string ReadAll() {
    std::string all;
    std::array<char, 4096> part{};
    for (;;) {
      const ssize_t size = read(ends_[0], part.data(), part.size());
      if (size <= 0)
        return all;
      all.append(part.data(), static_cast<size_t>(size));
    }
  }

 private:
  int output_;
  std::array<int, 2> ends_{};
};

// Guards against writing lines below the log level, and against the log library
// interpreting a caller's text as a format.
TEST(LogTest, LinesGoToStandardOutput) {
  ConfigureLog(LogLevel::kWarning);
  ::testing::internal::CaptureStderr();
  ::testing::internal::CaptureStdout();
  Log(LogLevel::kInfo, "left_out");
  Log(LogLevel::kError, "shown", {{"text", "100% %level %v"}});
  const std::string out = ::testing::internal::GetCapturedStdout();
  const std::string err = ::testing::internal::GetCapturedStderr();
  EXPECT_EQ(err, "");
  const auto json = nlohmann::json::parse(out);
  EXPECT_EQ(json["event"], "shown");
  EXPECT_EQ(json["text"], "100% %level %v");
}

// Guards against a process that blocks because its log is not read, against
// partly written lines, and against dropping lines without reporting it.
TEST(LogTest, FullPipeDropsLinesInsteadOfBlocking) {
  ConfigureLog(LogLevel::kInfo);
  OutputPipe output;
  constexpr int kLinesThatOverflowThePipe = 2000;
  const std::string text(400, 'x');
  for (int i = 0; i < kLinesThatOverflowThePipe; ++i)
    Log(LogLevel::kInfo, "fill", {{"text", text}});
  const auto written = static_cast<int>(Lines(output.ReadAll()).size());
  EXPECT_GT(written, 0);
  ASSERT_LT(written, kLinesThatOverflowThePipe);
  Log(LogLevel::kInfo, "next");
  const auto later_lines = Lines(output.ReadAll());
  ASSERT_EQ(later_lines.size(), 1U);
  EXPECT_EQ(later_lines[0]["event"], "next");
  EXPECT_EQ(later_lines[0]["lines_dropped"],
            kLinesThatOverflowThePipe - written);
}

class RequestLogTest : public ::testing::Test {
 protected:
  RequestLogTest() { ConfigureLog(LogLevel::kInfo); }

  std::vector<nlohmann::json> WriteAndCapture(
      const std::vector<RequestTrace>& traces) {
    ::testing::internal::CaptureStdout();
    for (const RequestTrace& trace : traces)
      log_.Write(trace);
    return Lines(::testing::internal::GetCapturedStdout());
  }

  FakeClock clock_;
  RequestLog log_{clock_};
};

// Guards against a log line that does not show why a request failed.
TEST_F(RequestLogTest, LineExplainsTheOutcome) {
  RequestTrace trace;
  trace.id = "r1";
  trace.host = "a.example";
  trace.path_prefix = "/work/";
  trace.service = ServiceId("sums");
  trace.client_account = ClientAccountId("acme");
  trace.version = 7;
  trace.began = clock_.Now();
  trace.deadline = milliseconds(900);
  trace.status = 504;
  trace.error = ErrorKind::kDeadlineExceeded;
  trace.outcome = Outcome::kUnknown;
  AttemptTrace attempt;
  attempt.server = BackendServerId("i-1");
  attempt.waited = milliseconds(12);
  attempt.took = milliseconds(80);
  attempt.end = AttemptReport::End::kConnectionLost;
  attempt.placement = {true, "", 5, true, milliseconds(3)};
  trace.attempts.push_back(attempt);
  attempt.server = BackendServerId("i-2");
  attempt.hedge = true;
  attempt.end = AttemptReport::End::kResponse;
  attempt.status = 200;
  trace.attempts.push_back(attempt);
  clock_.Advance(milliseconds(95));
  const auto lines = WriteAndCapture({trace});
  ASSERT_EQ(lines.size(), 1U);
  const nlohmann::json& line = lines[0];
  EXPECT_EQ(line["event"], "request");
  EXPECT_EQ(line["id"], "r1");
  EXPECT_EQ(line["route"], "a.example/work/");
  EXPECT_EQ(line["service"], "sums");
  EXPECT_EQ(line["account"], "acme");
  EXPECT_EQ(line["version"], 7);
  EXPECT_EQ(line["status"], 504);
  EXPECT_EQ(line["total_ms"], 95.0);
  EXPECT_EQ(line["deadline_ms"], 900.0);
  EXPECT_EQ(line["error"], "deadline_exceeded");
  EXPECT_EQ(line["outcome"], "unknown");
  const std::string attempts = line["attempts"];
  EXPECT_THAT(attempts, HasSubstr("i-1: waited 12.0 ms, took 80.0 ms, "
                                  "connection_lost, slowness 5.00, nearly "
                                  "full, known for 3.0 ms"));
  EXPECT_THAT(attempts, HasSubstr("; hedge i-2"));
  EXPECT_THAT(attempts, HasSubstr("response 200"));
}

// Guards against a log that grows with the load, and against leaving out
// requests without reporting how many.
TEST_F(RequestLogTest, LinesPerSecondAreLimitedAndTheRestCounted) {
  RequestTrace trace;
  trace.began = clock_.Now();
  const auto first = WriteAndCapture(std::vector<RequestTrace>(250, trace));
  EXPECT_EQ(first.size(), 100U);
  clock_.Advance(seconds(1));
  const auto later = WriteAndCapture({trace});
  ASSERT_EQ(later.size(), 2U);
  EXPECT_EQ(later[0]["event"], "requests_not_logged");
  EXPECT_EQ(later[0]["count"], 150);
  EXPECT_EQ(later[1]["event"], "request");
}

}  // namespace
}  // namespace mangodoor
