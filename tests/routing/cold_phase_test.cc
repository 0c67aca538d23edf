#include "process/servers/cold_phase.h"

#include <gtest/gtest.h>

#include <vector>

#include "process/servers/placement.h"
#include "process/servers/server_pool.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId work_service("work");
const BackendServerId server_id("i1");
const DataCentreId here("here");
const DataCentreId there("there");
constexpr TimePoint kStart{std::chrono::hours(1)};

ServerRecord Record(Duration cold_remaining,
                    const DataCentreId& data_centre = here) {
  ServerRecord record;
  record.id = server_id;
  record.service = work_service;
  record.data_centre = data_centre;
  record.endpoint = {"10.0.0.1", 80};
  record.slots = 30;
  record.incarnation = 1;
  record.cold_remaining = cold_remaining;
  return record;
}

class ColdPhaseTest : public testing::Test {
 protected:
  ColdPhaseTest() {
    Service service;
    service.id = work_service;
    service.discovered = true;
    service.cold_rate_per_s = 12;
    service.connection_limit = 220;
    Document document;
    document.version = 1;
    document.services = {service};
    ApplyVersion(pool_, *MakeVersion(document, "", ""), {}, here, now_);
    pool_.shares.instances = {{here, 24}, {there, 4}};
    pool_.shares.advertised_instances = {{here, 6}, {there, 2}};
    pool_.shares.is_advertised = true;
    pool_.shares.cold.own_data_centre = 1.0 / 6;
    pool_.shares.cold.until = TimePoint::max();
    pool_.shares.cold.granted = 0.5;
  }

  std::vector<ColdPhaseEvent> Apply(const ServerRecord& record) {
    return ApplyRecords(pool_, {record}, {}, now_).cold_events;
  }

  std::vector<ColdPhaseEvent> Remove() {
    return ApplyRecords(pool_, {}, {server_id}, now_).cold_events;
  }

  std::vector<ColdPhaseEvent> Probe(Duration cold_remaining) {
    if (ServerEntry* server = FindServer(pool_, server_id))
      server->probe_sent_at = now_;
    ProbeResult result;
    result.answered = true;
    result.server_load = ServerLoad{0, 0, 3, 1};
    result.cold_remaining = cold_remaining;
    return HandleProbeResult(pool_, server_id, result, now_).cold_events;
  }

  std::vector<ColdPhaseEvent> Tick() {
    return TickServers(pool_, now_).cold_events;
  }

  void Send() { Reserve(pool_, *FindServer(pool_, server_id), now_); }

  ServerPool pool_;
  TimePoint now_ = kStart;
};

ColdPhaseBegan OnlyBegan(const std::vector<ColdPhaseEvent>& events) {
  if (events.size() != 1 || !std::holds_alternative<ColdPhaseBegan>(events[0]))
    throw std::runtime_error("not exactly one beginning");
  return std::get<ColdPhaseBegan>(events[0]);
}

ColdPhaseEnded OnlyEnded(const std::vector<ColdPhaseEvent>& events) {
  if (events.size() != 1 || !std::holds_alternative<ColdPhaseEnded>(events[0]))
    throw std::runtime_error("not exactly one end");
  return std::get<ColdPhaseEnded>(events[0]);
}

// Guards against a beginning that lacks the share in force, or the counts from
// which it follows.
TEST_F(ColdPhaseTest, BeginningByRecordHasShareAndCounts) {
  const ColdPhaseBegan began = OnlyBegan(Apply(Record(seconds(3))));
  EXPECT_EQ(began.server, server_id);
  EXPECT_EQ(began.service, work_service);
  EXPECT_EQ(began.data_centre, here);
  EXPECT_TRUE(began.own_data_centre);
  EXPECT_EQ(began.cause, ColdCause::kRecord);
  EXPECT_EQ(began.remaining, seconds(3));
  EXPECT_EQ(began.counts.instances, 24);
  EXPECT_EQ(began.counts.advertised_instances, 6);
  EXPECT_EQ(began.counts.all_instances, 28);
  EXPECT_TRUE(began.counts.is_advertised);
  EXPECT_EQ(began.counts.granted, 0.5);
  EXPECT_DOUBLE_EQ(began.share, 1.0 / 6);
  EXPECT_DOUBLE_EQ(began.rate_per_s, 2);
  EXPECT_EQ(began.outstanding, 0);
}

// Guards against a beginning by a probe that is taken for one by a record, and
// against one that hides the requests already sent to the server.
TEST_F(ColdPhaseTest, BeginningByProbeCountsOutstandingRequests) {
  Apply(Record({}));
  Send();
  Send();
  const ColdPhaseBegan began = OnlyBegan(Probe(seconds(2)));
  EXPECT_EQ(began.cause, ColdCause::kProbe);
  EXPECT_EQ(began.remaining, seconds(2));
  EXPECT_EQ(began.outstanding, 2);
}

// Guards against a share in a line for a server that other instances serve,
// which would be taken for requests of this instance.
TEST_F(ColdPhaseTest, ServerOfOtherInstancesHasNoShare) {
  const ColdPhaseBegan began = OnlyBegan(Apply(Record(seconds(3), there)));
  EXPECT_FALSE(began.own_data_centre);
  EXPECT_EQ(began.counts.instances, 4);
  EXPECT_EQ(began.share, 0);
  EXPECT_EQ(began.rate_per_s, 0);
}

// Guards against a line for each report of a server that stays cold.
TEST_F(ColdPhaseTest, RepeatedReportsAreOnePhase) {
  OnlyBegan(Apply(Record(seconds(3))));
  now_ += seconds(1);
  EXPECT_TRUE(Probe(seconds(3)).empty());
  EXPECT_TRUE(Apply(Record(seconds(2))).empty());
  EXPECT_TRUE(Tick().empty());
}

// Guards against ends by a record, a probe and the reported time that cannot be
// told apart.
TEST_F(ColdPhaseTest, EndHasItsCause) {
  Apply(Record({}));
  OnlyBegan(Apply(Record(seconds(3))));
  now_ += seconds(1);
  const ColdPhaseEnded by_record = OnlyEnded(Apply(Record({})));
  EXPECT_EQ(by_record.server, server_id);
  EXPECT_EQ(by_record.cause, ColdCause::kRecord);
  EXPECT_EQ(by_record.lasted, seconds(1));

  OnlyBegan(Apply(Record(seconds(3))));
  now_ += seconds(2);
  const ColdPhaseEnded by_probe = OnlyEnded(Probe({}));
  EXPECT_EQ(by_probe.cause, ColdCause::kProbe);
  EXPECT_EQ(by_probe.lasted, seconds(2));

  OnlyBegan(Probe(seconds(3)));
  now_ += milliseconds(2990);
  EXPECT_TRUE(Tick().empty());
  now_ += milliseconds(20);
  const ColdPhaseEnded elapsed = OnlyEnded(Tick());
  EXPECT_EQ(elapsed.cause, ColdCause::kElapsed);
  EXPECT_EQ(elapsed.lasted, seconds(3));
  EXPECT_TRUE(Tick().empty());
}

// Guards against two phases that are logged as one because no tick came
// between them.
TEST_F(ColdPhaseTest, ReportAfterTheEndBeginsAnotherPhase) {
  OnlyBegan(Apply(Record(seconds(3))));
  now_ += seconds(5);
  const std::vector<ColdPhaseEvent> events = Probe(seconds(4));
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(OnlyEnded({events[0]}).cause, ColdCause::kElapsed);
  EXPECT_EQ(OnlyEnded({events[0]}).lasted, seconds(3));
  EXPECT_EQ(OnlyBegan({events[1]}).remaining, seconds(4));
}

// Guards against phases without an end, and against a late probe that begins a
// phase of a server that is no longer used.
TEST_F(ColdPhaseTest, RemovalEndsThePhase) {
  Apply(Record(seconds(3)));
  Send();
  EXPECT_EQ(OnlyEnded(Remove()).cause, ColdCause::kRemoved);
  EXPECT_TRUE(Probe(seconds(3)).empty());

  OnlyBegan(Apply(Record(seconds(3))));
  ServerRecord restarted = Record(seconds(7));
  restarted.incarnation = 2;
  const std::vector<ColdPhaseEvent> events = Apply(restarted);
  ASSERT_EQ(events.size(), 2U);
  EXPECT_EQ(OnlyEnded({events[0]}).cause, ColdCause::kRemoved);
  EXPECT_EQ(OnlyBegan({events[1]}).remaining, seconds(7));
}

// Guards against an end that does not show how many requests this instance sent
// to the server, and how many of them at once.
TEST_F(ColdPhaseTest, EndCountsRequests) {
  Apply(Record({}));
  Send();
  Probe(seconds(5));
  for (int i = 0; i < 3; ++i) {
    now_ += milliseconds(400);
    Send();
  }
  now_ += milliseconds(1000);
  Send();
  now_ += milliseconds(999);
  Send();
  const ColdPhaseEnded ended = OnlyEnded(Probe({}));
  EXPECT_EQ(ended.requests, 5U);
  EXPECT_EQ(ended.most_in_one_second, 3U);
  Send();
  EXPECT_EQ(pool_.cold_requests, 5U);
}

// Guards against a request that is counted for a cold server after the reported
// time, before a tick has ended the phase.
TEST_F(ColdPhaseTest, RequestAfterTheEndIsNotCounted) {
  Apply(Record(seconds(1)));
  now_ += seconds(1);
  Send();
  EXPECT_EQ(OnlyEnded(Tick()).requests, 0U);
  EXPECT_EQ(pool_.cold_requests, 0U);
}

// Guards against requests placed by load that are not counted.
TEST_F(ColdPhaseTest, PlacedRequestsAreCounted) {
  Apply(Record({}));
  pool_.shares = {};
  pool_.shares.cold.own_data_centre = 1;
  pool_.shares.cold.until = TimePoint::max();
  Probe(seconds(3));
  ServerRequirements requirements;
  requirements.service = work_service;
  requirements.deadline = now_ + seconds(1);
  const ServerReply reply =
      AcquireServer(pool_, requirements, now_, 1,
                    [](const std::variant<ChosenServer, ErrorKind>&) {});
  ASSERT_EQ(reply.state, ServerReply::State::kChosen);
  EXPECT_EQ(OnlyEnded(Remove()).requests, 1U);
  EXPECT_EQ(pool_.cold_requests, 1U);
}

// Guards against a status that differs from the shares in force.
TEST_F(ColdPhaseTest, StatusHasCountsOfTheOwnDataCentre) {
  Apply(Record(seconds(3)));
  Send();
  const ColdServersStatus status = StatusOfColdServers(pool_, now_);
  EXPECT_EQ(status.cold, 1);
  EXPECT_EQ(status.requests, 1U);
  EXPECT_EQ(status.counts.instances, 24);
  EXPECT_EQ(status.counts.advertised_instances, 6);
  EXPECT_DOUBLE_EQ(status.share, 1.0 / 6);
  now_ += seconds(3);
  EXPECT_EQ(StatusOfColdServers(pool_, now_).cold, 0);
}

}  // namespace
}  // namespace mangodoor
