#include "standins/lib/server_faults.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>

#include "fleet/harness/test_fleet.h"
#include "platform_fleet/platform_fleet.h"
#include "soak_fleet/soak_caller.h"
#include "standins/lib/run_log.h"

namespace mangodoor {
namespace {

using ::testing::AnyOf;
using ::testing::Contains;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

constexpr int kRequests = 60;
constexpr std::chrono::milliseconds kRequestTimeout(300);

PlatformPlan OneServer() {
  PlatformPlan plan;
  plan.instances = 0;
  plan.zones = 1;
  plan.servers_per_zone = 1;
  plan.work_ms = 1;
  return plan;
}

// Guards against faults that the soak sets and no caller could notice: a caller
// is connected to the faulty server without an instance in between.
class ServerFaultsTest : public testing::Test {
 protected:
  ServerFaultsTest() : fleet_(OneServer()) {
    WaitFor([this] { return fleet_.SetServerFaults(0, ""); },
            std::chrono::seconds(5));
  }

  std::vector<std::string> ViolationsWith(ServerFaultKind kind,
                                          int requests = kRequests) {
    ServerFaultMode mode;
    mode.kinds = {kind};
    mode.share_percent = 50;
    mode.seed = 1;
    EXPECT_TRUE(fleet_.SetServerFaults(0, EncodeFaultMode(mode)));
    for (int i = 0; i < requests; ++i)
      Send(NameOf(kind)[0] + std::to_string(i), i);
    for (const RunLogEntry& entry : ReadRunLog(fleet_.RunLogPath(0)))
      Record(entry);
    return FindViolations(record_);
  }

  void Send(const std::string& id, int number) {
    ObservedRequest request;
    request.id = id;
    request.method = number % 3 == 0   ? "POST"
                     : number % 3 == 1 ? "GET"
                                       : "HEAD";
    request.path = TargetFor("/work/x", {500, number % 2 == 0});
    request.idempotent = request.method != "POST";
    if (!connection_)
      connection_ = std::make_unique<HttpConnection>(fleet_.server_address(0));
    ClientRequest message{
        request.method, request.path, {{"X-Request-Id", id}}, ""};
    if (request.method == "POST")
      message.body = std::string(upload_size_, 'u');
    request.sent_body_hash = DigestOf(message.body).hash;
    message.max_response_body = 100000;
    request.sent_at = std::chrono::steady_clock::now();
    SetResponse(request, connection_->Call(message, kRequestTimeout));
    incomplete_ += request.status == 0 ? 1 : 0;
    record_.requests.push_back(request);
    const UnexpectedBytes unexpected = connection_->ReadUnexpected();
    if (!unexpected.bytes.empty())
      record_.stray_bytes.push_back({id, unexpected.bytes});
    if (request.status == 0 || unexpected.closed || !unexpected.bytes.empty())
      connection_ = nullptr;
  }

  void Record(const RunLogEntry& entry) {
    if (entry.kind == RunLogEntry::Kind::kRun)
      record_.runs.insert(
          {entry.request_id, {0, entry.method, entry.target, entry.body_hash}});
    if (entry.kind == RunLogEntry::Kind::kResponse)
      record_.responses.insert({entry.request_id, {"i-0", entry.status}});
  }

  PlatformFleet fleet_;
  std::unique_ptr<HttpConnection> connection_;
  SoakRecord record_;
  size_t upload_size_ = 0;
  int incomplete_ = 0;
};

TEST_F(ServerFaultsTest, ExtraResponsesAreNoticed) {
  const auto violations = ViolationsWith(ServerFaultKind::kExtraResponse);
  EXPECT_THAT(violations, Contains(HasSubstr("bytes followed the response")));
  EXPECT_THAT(violations, Contains(HasSubstr("response to another request")));
}

TEST_F(ServerFaultsTest, RefusalsAgainAreNoticed) {
  EXPECT_THAT(ViolationsWith(ServerFaultKind::kRefusalAgain),
              Contains(HasSubstr("was refused with")));
}

TEST_F(ServerFaultsTest, BrokenResponsesAreNoticed) {
  // Enough for each of the ways in which a response can be broken.
  const auto violations =
      ViolationsWith(ServerFaultKind::kBroken, 2 * kRequests);
  EXPECT_THAT(violations, Contains(HasSubstr("are not a response")));
  EXPECT_THAT(violations, Contains(HasSubstr("not a response: status ")));
  EXPECT_THAT(violations, Contains(HasSubstr("without signature")));
  EXPECT_GT(incomplete_, 0);
}

// Guards against uploads that a faulty server always reads to their end.
TEST_F(ServerFaultsTest, UploadsEndEarly) {
  upload_size_ = 100000;
  ViolationsWith(ServerFaultKind::kBroken);
  constexpr size_t kPosts = kRequests / 3;
  const auto posts = std::count_if(
      record_.runs.begin(), record_.runs.end(),
      [](const auto& run) { return run.second.method == "POST"; });
  EXPECT_GT(posts, 0);
  EXPECT_LT(posts, kPosts);
}

TEST_F(ServerFaultsTest, ResponsesWithoutEndAreNotComplete) {
  ViolationsWith(ServerFaultKind::kEndless);
  EXPECT_GT(incomplete_, 5);
}

TEST_F(ServerFaultsTest, FailuresOfTheServerAreNoViolation) {
  EXPECT_THAT(ViolationsWith(ServerFaultKind::kFailure), IsEmpty());
  EXPECT_THAT(record_.responses,
              Contains(testing::Pair(testing::_,
                                     testing::Field(&AnsweredStatus::status,
                                                    AnyOf(500, 502, 504)))));
}

TEST_F(ServerFaultsTest, UnavailableAfterRunIsNoticed) {
  EXPECT_THAT(ViolationsWith(ServerFaultKind::kUnavailableAfterRun),
              Contains(HasSubstr("was refused with 503 and ran")));
}

// Guards against a fault mode that changes on its way to the server.
TEST(FaultModeTest, TextKeepsTheMode) {
  ServerFaultMode mode;
  mode.kinds = {ServerFaultKind::kEndless, ServerFaultKind::kBroken};
  mode.share_percent = 30;
  mode.seed = 7;
  const ServerFaultMode decoded = DecodeFaultMode(EncodeFaultMode(mode));
  EXPECT_EQ(decoded.kinds, mode.kinds);
  EXPECT_EQ(decoded.share_percent, 30);
  EXPECT_EQ(decoded.seed, 7U);
  EXPECT_THAT(DecodeFaultMode("").kinds, IsEmpty());
}

// Guards against runs that are lost, or read wrongly, after a server is killed
// while it writes a line.
TEST(RunLogTest, IncompleteLastLineIsIgnored) {
  const std::string path = testing::TempDir() + "/run-log-test";
  std::filesystem::remove(path);
  RunLogWriter writer;
  writer.file.open(path);
  RunLogEntry run;
  run.request_id = "c1";
  run.method = "GET";
  run.target = "/x?bytes=3";
  run.body_hash = 12;
  Append(writer, run);
  writer.file << "refusal c2 0 50" << std::flush;
  const std::vector<RunLogEntry> entries = ReadRunLog(path);
  ASSERT_EQ(entries.size(), 1U);
  EXPECT_EQ(entries[0].request_id, "c1");
  EXPECT_EQ(entries[0].target, "/x?bytes=3");
  EXPECT_EQ(entries[0].body_hash, 12U);
}

}  // namespace
}  // namespace mangodoor
