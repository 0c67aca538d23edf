#include "process/io/cold_server_log.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

#include "operators/repository.h"
#include "process/fake_clock.h"
#include "process/io/action_runner.h"
#include "process/io/log.h"
#include "process/io/shares_log.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::IsEmpty;
using Json = nlohmann::ordered_json;

const DataCentreId east("east");

class MockPeers : public PeerTransport {
 public:
  MOCK_METHOD(void, Send, (const InstanceId&, const PeerMessage&), (override));
  MOCK_METHOD(std::vector<InstanceId>, ConnectedPeers, (), (const, override));
};

std::vector<Json> LinesWrittenBy(const std::function<void()>& write) {
  ::testing::internal::CaptureStdout();
  write();
  std::istringstream text(::testing::internal::GetCapturedStdout());
  std::vector<Json> lines;
  for (std::string line; std::getline(text, line);)
    lines.push_back(Json::parse(line));
  return lines;
}

// Names of the line's event and fields that the page about logs lacks.
std::set<std::string> UndocumentedNames(const Json& line) {
  const std::string page = RepositoryFile("docs/OPERATIONS.md");
  std::set<std::string> names = {line["event"]};
  for (const auto& field : line.items())
    names.insert(field.key());
  for (const char* common : {"time", "level", "event"})
    names.erase(common);
  std::set<std::string> missing;
  for (const std::string& name : names) {
    if (page.find("`" + name + "`") == std::string::npos)
      missing.insert(name);
  }
  return missing;
}

ColdPhaseBegan SampleBegan() {
  ColdPhaseBegan began;
  began.server = BackendServerId("i-1");
  began.service = ServiceId("sums");
  began.data_centre = east;
  began.own_data_centre = true;
  began.cause = ColdCause::kProbe;
  began.remaining = milliseconds(2950);
  began.counts = {24, 6, 72, true, 1};
  began.share = 1.0 / 6;
  began.rate_per_s = 3.2 / 6;
  began.outstanding = 2;
  return began;
}

ColdPhaseEnded SampleEnded() {
  return {BackendServerId("i-1"),
          ServiceId("sums"),
          ColdCause::kRecord,
          milliseconds(1200),
          4,
          3};
}

class ColdServerLogTest : public ::testing::Test {
 protected:
  ColdServerLogTest() { ConfigureLog(LogLevel::kInfo); }

  std::vector<Json> WriteAndCapture(const std::vector<ColdPhaseEvent>& events) {
    return LinesWrittenBy([&] { log_.Write(events); });
  }

  FakeClock clock_;
  ColdServerLog log_{clock_};
};

// Guards against a line from which the share of an instance cannot be
// recomputed, and against fields that operators cannot look up.
TEST_F(ColdServerLogTest, BeginningShowsTheShareAndItsCounts) {
  const auto lines = WriteAndCapture({SampleBegan()});
  ASSERT_EQ(lines.size(), 1U);
  const Json& line = lines[0];
  EXPECT_EQ(line["event"], "server_cold");
  EXPECT_EQ(line["server"], "i-1");
  EXPECT_EQ(line["service"], "sums");
  EXPECT_EQ(line["data_centre"], "east");
  EXPECT_EQ(line["own_data_centre"], true);
  EXPECT_EQ(line["told_by"], "probe");
  EXPECT_EQ(line["remaining_ms"], 2950.0);
  EXPECT_EQ(line["granted"], 1);
  EXPECT_EQ(line["share"], 0.1667);
  EXPECT_EQ(line["rate_per_s"], 0.5333);
  EXPECT_EQ(line["instances"], 24);
  EXPECT_EQ(line["advertised"], 6);
  EXPECT_EQ(line["all_instances"], 72);
  EXPECT_EQ(line["is_advertised"], true);
  EXPECT_EQ(line["outstanding"], 2);
  EXPECT_EQ(line["lines_not_logged"], 0);
  EXPECT_THAT(UndocumentedNames(line), IsEmpty());
}

// Guards against a line that does not show who ended the phase, and how many
// requests this instance sent.
TEST_F(ColdServerLogTest, EndShowsReasonAndRequests) {
  const auto lines = WriteAndCapture({SampleEnded()});
  ASSERT_EQ(lines.size(), 1U);
  const Json& line = lines[0];
  EXPECT_EQ(line["event"], "server_warm");
  EXPECT_EQ(line["server"], "i-1");
  EXPECT_EQ(line["service"], "sums");
  EXPECT_EQ(line["reason"], "record");
  EXPECT_EQ(line["lasted_ms"], 1200.0);
  EXPECT_EQ(line["requests"], 4);
  EXPECT_EQ(line["most_in_one_second"], 3);
  EXPECT_THAT(UndocumentedNames(line), IsEmpty());
}

// Guards against a log that grows with the number of servers that become cold
// together, and against leaving out lines without reporting how many.
TEST_F(ColdServerLogTest, LinesPerSecondAreLimited) {
  const auto first =
      WriteAndCapture(std::vector<ColdPhaseEvent>(130, SampleBegan()));
  EXPECT_EQ(first.size(), 100U);
  clock_.Advance(seconds(1));
  const auto later = WriteAndCapture({SampleEnded()});
  ASSERT_EQ(later.size(), 1U);
  EXPECT_EQ(later[0]["lines_not_logged"], 30);
}

// Guards against events of the server table that never reach the log.
TEST_F(ColdServerLogTest, ActionsAreLogged) {
  ::testing::NiceMock<MockPeers> peers;
  ActionRunner runner(
      peers, [](const ChosenServer&) {},
      [this](const std::vector<ColdPhaseEvent>& events) {
        log_.Write(events);
      });
  ServerActions actions;
  actions.cold_events = {SampleEnded(), SampleBegan()};
  const auto lines = LinesWrittenBy([&] { runner.Run(actions); });
  ASSERT_EQ(lines.size(), 2U);
  EXPECT_EQ(lines[0]["event"], "server_warm");
  EXPECT_EQ(lines[1]["event"], "server_cold");
}

InstanceShares Shares(int instances, int advertised_instances) {
  InstanceShares shares;
  shares.instances = {{east, instances}, {DataCentreId("west"), 10}};
  shares.advertised_instances = {{east, advertised_instances}};
  shares.is_advertised = true;
  shares.cold.own_data_centre = 1.0 / advertised_instances;
  shares.cold.until = TimePoint::max();
  shares.cold.granted = 1;
  return shares;
}

class SharesLogTest : public ::testing::Test {
 protected:
  SharesLogTest() { ConfigureLog(LogLevel::kInfo); }

  std::vector<Json> WriteAndCapture(const InstanceShares& shares) {
    return LinesWrittenBy([&] { log_.Write(shares, east); });
  }

  FakeClock clock_;
  SharesLog log_{clock_};
};

// Guards against counts that cannot be told from the log, and against a line
// for every tick.
TEST_F(SharesLogTest, LogsOnlyChanges) {
  const auto lines = WriteAndCapture(Shares(24, 6));
  ASSERT_EQ(lines.size(), 1U);
  const Json& line = lines[0];
  EXPECT_EQ(line["event"], "shares_changed");
  EXPECT_EQ(line["data_centre"], "east");
  EXPECT_EQ(line["instances"], 24);
  EXPECT_EQ(line["advertised"], 6);
  EXPECT_EQ(line["all_instances"], 34);
  EXPECT_EQ(line["is_advertised"], true);
  EXPECT_EQ(line["granted"], 1);
  EXPECT_EQ(line["share"], 0.1667);
  EXPECT_THAT(UndocumentedNames(line), IsEmpty());
  clock_.Advance(seconds(5));
  EXPECT_TRUE(WriteAndCapture(Shares(24, 6)).empty());
  EXPECT_EQ(WriteAndCapture(Shares(24, 5)).size(), 1U);
}

// Guards against a line for each instance of a fleet that starts, and against
// losing the last change because it came soon after another one.
TEST_F(SharesLogTest, LastChangeIsLoggedWithinASecond) {
  size_t lines = 0;
  for (int instances = 1; instances <= 9; ++instances) {
    lines += WriteAndCapture(Shares(instances, 1)).size();
    clock_.Advance(milliseconds(100));
  }
  EXPECT_EQ(lines, 1U);
  clock_.Advance(milliseconds(100));
  const auto last = WriteAndCapture(Shares(9, 1));
  ASSERT_EQ(last.size(), 1U);
  EXPECT_EQ(last[0]["instances"], 9);
}

}  // namespace
}  // namespace mangodoor
