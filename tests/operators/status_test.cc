#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "process/io/log.h"
#include "process/status/io/status_codec.h"
#include "process/status/io/status_text.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using ::testing::HasSubstr;
using ::testing::Not;

InstanceStatus SampleStatus() {
  InstanceStatus status;
  status.self = {InstanceId("a1"),
                 DataCentreId("east"),
                 {"10.0.0.1", 7100},
                 {"fd00::1", 7101},
                 false};
  status.state = InstanceState::kLeaving;
  status.readiness = {false, "leaving"};
  status.version = 7;
  status.digest = "abc";
  status.configuration_fresh = true;
  status.list_revision = 3;
  status.peers = {{{InstanceId("b1"), DataCentreId("west"), {}, {}, true},
                   InstanceState::kServing,
                   true,
                   milliseconds(250),
                   6},
                  {{InstanceId("b2"), DataCentreId("west"), {}, {}, false},
                   InstanceState::kJoining,
                   false,
                   Duration::max(),
                   0}};
  status.servers = {{BackendServerId("o1"), ServiceId("orders"),
                     DataCentreId("east"), ServerState::kSlow,
                     "outlier 2.1 s \xff ago", 2, 3,
                     std::chrono::microseconds(1500), 4}};
  status.accounts = {{ClientAccountId("shop"), 1500001, 2000000, 3000000,
                      -4000000, 5000000, 10, 11, 12}};
  return status;
}

InstanceStatus SampleFleetStatus() {
  InstanceStatus status = SampleStatus();
  status.peers.clear();
  FleetStatus& fleet = status.fleet.emplace();
  fleet.rank = 2;
  fleet.store_revision = 41;
  fleet.store_era = 3;
  fleet.store_age = milliseconds(120);
  fleet.reads_store = true;
  fleet.entries_refused = 7;
  fleet.requests_per_s = 87.5;
  fleet.cold_servers = {3, 14, 0.25, {24, 4, 72, true}};
  MemberStatus member;
  member.member = {InstanceId("10.0.0.2:7101"),
                   DataCentreId("west"),
                   {"10.0.0.2", 7100},
                   {"10.0.0.2", 7101},
                   200,
                   9,
                   MemberState::kLeaving};
  member.linked = true;
  member.time_since_heard = milliseconds(30);
  member.store_revision = 40;
  fleet.members.push_back(member);
  member.member.id = InstanceId("10.0.0.3:7101");
  member.member.state = MemberState::kGone;
  member.time_since_heard = Duration::max();
  fleet.members.push_back(member);
  return status;
}

// Guards against losing fields of the fleet's status when it is encoded and
// decoded.
TEST(StatusCodecTest, RoundTripKeepsTheFleet) {
  const std::string text = EncodeStatus(SampleFleetStatus());
  const InstanceStatus decoded = DecodeStatus(text);
  EXPECT_EQ(EncodeStatus(decoded), text);
  ASSERT_TRUE(decoded.fleet);
  EXPECT_EQ(decoded.fleet->store_age, milliseconds(120));
  EXPECT_EQ(decoded.fleet->store_era, 3U);
  EXPECT_EQ(decoded.fleet->entries_refused, 7U);
  EXPECT_EQ(decoded.fleet->cold_servers.cold, 3);
  EXPECT_EQ(decoded.fleet->cold_servers.requests, 14U);
  EXPECT_EQ(decoded.fleet->cold_servers.share, 0.25);
  EXPECT_EQ(decoded.fleet->cold_servers.counts, (ShareCounts{24, 4, 72, true}));
  ASSERT_EQ(decoded.fleet->members.size(), 2U);
  EXPECT_EQ(decoded.fleet->members[0].member.state, MemberState::kLeaving);
  EXPECT_EQ(decoded.fleet->members[0].time_since_heard, milliseconds(30));
  EXPECT_EQ(decoded.fleet->members[1].time_since_heard, Duration::max());
}

// Guards against a table that does not show which instances read the store and
// how old the copy is.
TEST(StatusTextTest, FleetShowsStoreAndMembers) {
  const std::string text = FormatStatus(SampleFleetStatus());
  EXPECT_THAT(text, HasSubstr("store: revision 41, known to be current "
                              "120.0 ms ago, read by this instance\n"
                              "fleet: rank 2 in the data centre, 87.5 "
                              "requests a second\n"));
  EXPECT_THAT(text, HasSubstr("10.0.0.2:7101  west         leaving  yes"));
  EXPECT_THAT(text, HasSubstr("10.0.0.3:7101  west         gone"));
  EXPECT_THAT(text, Not(HasSubstr("instance list")));
  EXPECT_THAT(text, Not(HasSubstr("restored")));
  InstanceStatus restored = SampleFleetStatus();
  restored.fleet->carried_items = 2;
  EXPECT_THAT(FormatStatus(restored),
              HasSubstr("restored from an older copy: 2 items stay in force"));
}

// Guards against a table that does not show which counts the share of a cold
// server follows from.
TEST(StatusTextTest, FleetShowsTheShareOfAColdServer) {
  EXPECT_THAT(FormatStatus(SampleFleetStatus()),
              HasSubstr("cold servers: 3 now, 14 requests sent to cold ones\n"
                        "share of a cold server: 25.0% (4 advertised of 24 "
                        "instances in the data centre, 72 in all; this one is "
                        "advertised)\n"));
}

// Guards against losing fields of the status when it is encoded and decoded.
TEST(StatusCodecTest, RoundTripKeepsEveryField) {
  const std::string text = EncodeStatus(SampleStatus());
  const InstanceStatus decoded = DecodeStatus(text);
  EXPECT_EQ(EncodeStatus(decoded), text);
  EXPECT_EQ(decoded.peers[1].time_since_heard, Duration::max());
  EXPECT_EQ(decoded.peers[0].time_since_heard, milliseconds(250));
  EXPECT_EQ(decoded.servers[0].state, ServerState::kSlow);
  EXPECT_EQ(decoded.servers[0].latency, std::chrono::microseconds(1500));
  EXPECT_EQ(decoded.accounts[0].tokens, 1500001);
  EXPECT_EQ(decoded.accounts[0].lent, -4000000);
  EXPECT_EQ(decoded.accounts[0].waiting, 12);
}

// Guards against decoding the response of another server as a status.
TEST(StatusCodecTest, InvalidTextIsRejected) {
  for (const char* text : {"", "{}", "[]", "<html>", "{\"instance\": 1}"}) {
    EXPECT_THROW(DecodeStatus(text), std::runtime_error) << text;
  }
  EXPECT_THROW(DecodeAudit("[{\"at\": \"now\"}]"), std::runtime_error);
  EXPECT_THROW(DecodeAudit("{\"at\": 1}"), std::runtime_error);
}

// Guards against losing the source of a version in the audit trail.
TEST(StatusCodecTest, AuditRoundTrip) {
  const std::vector<AuditRecord> records = {
      {WallTime(milliseconds(5)), 4, "d4", InstanceId(), true, {"x", "y"}},
      {WallTime(milliseconds(6)), 5, "d5", InstanceId("b2"), false, {}}};
  const std::string text = EncodeAudit(records);
  EXPECT_EQ(EncodeAudit(DecodeAudit(text)), text);
  EXPECT_TRUE(DecodeAudit(text)[0].source.empty());
  EXPECT_EQ(DecodeAudit(text)[1].source, InstanceId("b2"));
  const std::string shown = FormatAudit(records);
  EXPECT_THAT(shown, HasSubstr("accepted version 4 from the configuration "
                               "service, digest d4\n  x\n  y\n"));
  EXPECT_THAT(shown, HasSubstr("rejected version 5 from peer b2"));
}

// Guards against a table that lacks a state or the reason for it.
TEST(StatusTextTest, TableShowsStateAndReason) {
  const std::string text = FormatStatus(SampleStatus());
  EXPECT_THAT(text, HasSubstr("instance a1 in east: leaving, not ready "
                              "(leaving)\nversion: 7, digest abc\n"));
  EXPECT_THAT(text, HasSubstr("never"));
  EXPECT_THAT(text, HasSubstr("orders   o1      east         slow"));
  EXPECT_THAT(text, HasSubstr("outlier 2.1 s"));
  EXPECT_THAT(text, HasSubstr("shop            1.5"));
}

// Guards against log lines that a collector cannot parse.
TEST(LogTest, LineIsOneJsonObject) {
  const std::string line = FormatLogLine(
      WallTime(milliseconds(1)), LogLevel::kWarning, "peer_closed",
      {{"peer", "b\n2\xff"}, {"count", 3}, {"share", 0.5}, {"known", true}});
  EXPECT_EQ(line.find('\n'), std::string::npos);
  const auto json = nlohmann::json::parse(line);
  EXPECT_EQ(json["time"], "1970-01-01T00:00:00.001Z");
  EXPECT_EQ(json["level"], "warning");
  EXPECT_EQ(json["event"], "peer_closed");
  EXPECT_EQ(json["count"], 3);
  EXPECT_EQ(json["known"], true);
}

}  // namespace
}  // namespace mangodoor
