#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

#include "process/servers/server_pool.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId work_service("work");
const DataCentreId here("here");
const BackendServerId cold_server("i1");
constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr milliseconds kWorkTime{88};
constexpr int kSlots = 3;
constexpr int kColdRatePerS = 12;
constexpr int kInstances = 3;
constexpr int kOwnColdRatePerS = kColdRatePerS / kInstances;

ServerRecord Record(uint64_t revision, Duration cold_remaining = {}) {
  ServerRecord record;
  record.id = cold_server;
  record.service = work_service;
  record.data_centre = here;
  record.endpoint = {"10.0.0.1", 80};
  record.slots = kSlots;
  record.incarnation = 1;
  record.cold_remaining = cold_remaining;
  record.revision = revision;
  return record;
}

/**
 * One instance and one server that reports its load. Requests wait at all
 * times, so that the instance sends as many as it considers permitted.
 */
class ColdReportsTest : public testing::Test {
 protected:
  ColdReportsTest() {
    Service service;
    service.id = work_service;
    service.discovered = true;
    service.cold_rate_per_s = kColdRatePerS;
    service.connection_limit = 220;
    Document document;
    document.version = 1;
    document.services = {service};
    ApplyVersion(pool_, *MakeVersion(document, "", ""), {}, here, now_);
    pool_.shares.cold.own_data_centre = 1.0 / kInstances;
    pool_.shares.cold.until = TimePoint::max();
    pool_.probes_per_s = 1000;
  }

  void Apply(const ServerRecord& record) {
    Run(ApplyRecords(pool_, {record}, {}, now_));
  }

  void Remove() { Run(ApplyRecords(pool_, {}, {cold_server}, now_)); }

  bool KnownCold() {
    return IsCold(FindServer(pool_, cold_server)->cold_window, now_);
  }

  void Probe() {
    ++probes_;
    ProbeResult result;
    result.answered = true;
    result.cold_remaining = std::max<Duration>(Duration(), cold_until_ - now_);
    result.server_load = LoadOfServer();
    Run(HandleProbeResult(pool_, cold_server, result, now_));
  }

  /** Sends requests for this time; returns how many were sent. */
  int SendFor(Duration duration) {
    const auto before = sent_.size();
    const TimePoint end = now_ + duration;
    while (now_ < end) {
      now_ += milliseconds(1);
      EndRequests();
      KeepRequestsWaiting();
      Run(TickServers(pool_, now_));
    }
    return static_cast<int>(sent_.size() - before);
  }

  /** Ends the reservation of the latest request; it was not sent. */
  void ReleaseUnused() {
    AttemptResult result;
    result.latency = now_ - running_.back();
    sent_.pop_back();
    running_.pop_back();
    Run(ReleaseServer(pool_, cold_server, result, now_));
  }

  /** Most requests sent within one second. */
  int BusiestSecond() const {
    int most = 0;
    for (const TimePoint first : sent_) {
      const auto count =
          std::count_if(sent_.begin(), sent_.end(), [first](TimePoint at) {
            return at >= first && at - first < seconds(1);
          });
      most = std::max(most, static_cast<int>(count));
    }
    return most;
  }

  ServerPool pool_;
  TimePoint now_ = kStart;
  /** The server's actual state, which it reports to probes. */
  TimePoint cold_until_ = kStart;
  std::vector<TimePoint> sent_;
  int probes_ = 0;

 private:
  ServerLoad LoadOfServer() const {
    return {static_cast<int>(running_.size()), 0, kSlots, 1};
  }

  void Run(const ServerActions& actions) {
    for (const auto& callback : actions.callbacks)
      callback();
    for (size_t i = 0; i < actions.probes.size(); ++i)
      Probe();
  }

  void Start() {
    sent_.push_back(now_);
    running_.push_back(now_);
  }

  void EndRequests() {
    while (!running_.empty() && now_ - running_.front() >= kWorkTime) {
      running_.erase(running_.begin());
      AttemptResult result;
      result.end = AttemptResult::End::kAnswered;
      result.latency = kWorkTime;
      result.server_load = LoadOfServer();
      Run(ReleaseServer(pool_, cold_server, result, now_));
    }
  }

  void KeepRequestsWaiting() {
    constexpr size_t kWaiting = 5;
    const ServiceEntry* service = FindService(pool_, work_service);
    if (!service || service->placement_queue.size() >= kWaiting)
      return;
    ServerRequirements requirements;
    requirements.service = work_service;
    requirements.deadline = now_ + seconds(5);
    const auto done = [this](std::variant<ChosenServer, ErrorKind> decision) {
      if (std::holds_alternative<ChosenServer>(decision))
        Start();
    };
    const ServerReply reply =
        AcquireServer(pool_, requirements, now_, ++random_, done);
    if (reply.state == ServerReply::State::kChosen)
      Start();
    Run(reply.actions);
  }

  /** Start times of the requests that the server works on. */
  std::vector<TimePoint> running_;
  uint64_t random_ = 0;
};

// Guards against a cold server that gets requests up to its slots because a
// record that was written before it turned cold arrives after the probe that
// reported it (34 in a second instead of 4).
TEST_F(ColdReportsTest, RecordDoesNotEndAColdPhaseReportedByAProbe) {
  Apply(Record(1));
  cold_until_ = now_ + seconds(3);
  Probe();
  ASSERT_TRUE(KnownCold());
  now_ += milliseconds(1);
  Apply(Record(2));
  EXPECT_TRUE(KnownCold());
  EXPECT_LE(SendFor(seconds(1)), kOwnColdRatePerS);
  now_ = cold_until_;
  EXPECT_FALSE(KnownCold());
}

// Guards against a record that makes a server cold, or cold for longer, each
// time that it is applied.
TEST_F(ColdReportsTest, RecordThatIsAppliedAgainChangesNothing) {
  Apply(Record(5, seconds(3)));
  now_ += seconds(2);
  Apply(Record(5, seconds(3)));
  EXPECT_TRUE(KnownCold());
  now_ += seconds(1);
  EXPECT_FALSE(KnownCold());
  Probe();
  Apply(Record(5, seconds(3)));
  EXPECT_FALSE(KnownCold());
}

// Guards against a server that stays limited after its record says that it is
// warm, if no probe has reported its state.
TEST_F(ColdReportsTest, LaterRecordReplacesAnEarlierOne) {
  Apply(Record(5, seconds(3)));
  EXPECT_TRUE(KnownCold());
  Apply(Record(6));
  EXPECT_FALSE(KnownCold());
  Apply(Record(7, seconds(3)));
  EXPECT_TRUE(KnownCold());
}

// Guards against a warm server that is limited for as long as a late record
// says. A probe corrects it, at the latest when the limit allows a request.
TEST_F(ColdReportsTest, ProbeReplacesARecord) {
  Apply(Record(1));
  Probe();
  now_ += milliseconds(1);
  Apply(Record(2, seconds(3)));
  ASSERT_TRUE(KnownCold());
  SendFor(milliseconds(1100));
  EXPECT_FALSE(KnownCold());
}

// Guards against a server that gets a second's share again from an instance
// that has just sent it requests, when it turns cold.
TEST_F(ColdReportsTest, RequestsBeforeTheNewsCountAgainstTheLimit) {
  Apply(Record(1));
  ASSERT_EQ(SendFor(milliseconds(10)), kSlots);
  cold_until_ = now_ + seconds(4);
  Probe();
  SendFor(seconds(3));
  EXPECT_LE(BusiestSecond(), kOwnColdRatePerS);
  // The limit is used nonetheless.
  EXPECT_GE(sent_.size(), 3U * kOwnColdRatePerS);
}

// Guards against a cold server whose entry lapses and comes back: it got a
// second's share again, and counted as warm.
TEST_F(ColdReportsTest, EntryThatComesBackKeepsItsColdState) {
  Apply(Record(1));
  cold_until_ = now_ + seconds(3);
  Probe();
  SendFor(milliseconds(500));
  Remove();
  // Its requests end while it is not listed.
  SendFor(milliseconds(200));
  ASSERT_EQ(FindServer(pool_, cold_server), nullptr);
  Apply(Record(2));
  EXPECT_TRUE(KnownCold());
  SendFor(seconds(1));
  EXPECT_LE(BusiestSecond(), kOwnColdRatePerS);
}

// The same for an entry that comes back while requests are running.
TEST_F(ColdReportsTest, EntryInUseKeepsItsColdState) {
  Apply(Record(1));
  cold_until_ = now_ + seconds(3);
  Probe();
  SendFor(milliseconds(10));
  ASSERT_GT(FindServer(pool_, cold_server)->outstanding, 0);
  Remove();
  Apply(Record(2));
  EXPECT_TRUE(KnownCold());
  ServerRecord moved = Record(3);
  moved.endpoint.port = 81;
  Apply(moved);
  EXPECT_TRUE(KnownCold());
  SendFor(seconds(1));
  EXPECT_LE(BusiestSecond(), kOwnColdRatePerS);
}

// Guards against requests that are sent although their server turned cold after
// they were placed, and are more than its limit.
TEST_F(ColdReportsTest, PlacedRequestsBeyondTheLimitAreNotSent) {
  pool_.shares.cold.own_data_centre = 1.0 / 6;
  Apply(Record(1));
  ASSERT_EQ(SendFor(milliseconds(3)), kSlots);
  EXPECT_TRUE(MayStillSend(pool_, cold_server, now_));
  cold_until_ = now_ + seconds(3);
  Probe();
  EXPECT_FALSE(MayStillSend(pool_, cold_server, now_));
  ReleaseUnused();
  // Two of the three are within the limit.
  EXPECT_TRUE(MayStillSend(pool_, cold_server, now_));
  EXPECT_EQ(SendFor(milliseconds(900)), 0);
}

// The same for an instance whose part is below one request a second. Its first
// request has to wait for its turn.
TEST_F(ColdReportsTest, PlacedRequestIsNotSentBeforeItsTurn) {
  pool_.shares.cold.own_data_centre = 1.0 / 24;
  // Its turn is from 1.5 to 2 s.
  pool_.shares.cold.phase = 0.75;
  Apply(Record(1));
  ASSERT_EQ(SendFor(milliseconds(3)), kSlots);
  cold_until_ = now_ + seconds(3);
  Probe();
  for (int i = 0; i < kSlots; ++i) {
    EXPECT_FALSE(MayStillSend(pool_, cold_server, now_));
    ReleaseUnused();
  }
  EXPECT_EQ(SendFor(milliseconds(1400)), 0);
  EXPECT_EQ(SendFor(milliseconds(200)), 1);
  EXPECT_TRUE(MayStillSend(pool_, cold_server, now_));
}

// Guards against a request that is sent to a server of another data centre
// after that has turned cold.
TEST_F(ColdReportsTest, PlacedRequestIsNotSentToAnotherDataCentre) {
  const DataCentreId there("there");
  ServerRecord remote = Record(1);
  remote.data_centre = there;
  Apply(remote);
  ASSERT_GE(SendFor(milliseconds(1)), 1);
  EXPECT_TRUE(MayStillSend(pool_, cold_server, now_));
  cold_until_ = now_ + seconds(3);
  Probe();
  EXPECT_FALSE(MayStillSend(pool_, cold_server, now_));
}

// Guards against a cold server that gets less than its limit because requests
// were placed on it, but not sent.
TEST_F(ColdReportsTest, UnsentRequestDoesNotCountAgainstTheLimit) {
  Apply(Record(1, seconds(60)));
  cold_until_ = now_ + seconds(60);
  SendFor(milliseconds(10));
  for (int i = 0; i < kOwnColdRatePerS; ++i) {
    ASSERT_EQ(sent_.size(), 1U);
    ReleaseUnused();
    SendFor(milliseconds(10));
  }
  EXPECT_EQ(SendFor(seconds(1)), kOwnColdRatePerS);
}

// Guards against a server that turns cold while responses keep its load
// current: without a probe, an instance sent it 33 requests a second instead of
// 4 until its record said so.
TEST_F(ColdReportsTest, ResponsesDoNotHideThatAServerIsCold) {
  Apply(Record(1));
  SendFor(seconds(2));
  cold_until_ = now_ + seconds(3);
  SendFor(milliseconds(550));
  EXPECT_TRUE(KnownCold());
  EXPECT_LE(SendFor(seconds(1)), kOwnColdRatePerS);
}

// Guards against more probes than that takes, and against requests that wait
// for a probe that the budget does not allow.
TEST_F(ColdReportsTest, ProbesOfTheColdStateAreLimited) {
  Apply(Record(1));
  SendFor(seconds(2));
  probes_ = 0;
  EXPECT_GE(SendFor(seconds(10)), 335);
  EXPECT_GE(probes_, 18);
  EXPECT_LE(probes_, 20);
  pool_.probes_per_s = 0;
  FindServer(pool_, cold_server)->probe_tokens = 0;
  probes_ = 0;
  EXPECT_GE(SendFor(seconds(10)), 335);
  EXPECT_EQ(probes_, 0);
}

// Guards against probes of servers that have no limit while cold.
TEST_F(ColdReportsTest, NoProbesWithoutAColdLimit) {
  FindService(pool_, work_service)->cold_rate_per_s = 0;
  Apply(Record(1));
  SendFor(seconds(2));
  probes_ = 0;
  EXPECT_GE(SendFor(seconds(10)), 335);
  EXPECT_EQ(probes_, 0);
}

// Guards against a cold server that counts as warm because a probe was answered
// by the server that now has its address.
TEST_F(ColdReportsTest, AnotherServersResponseDoesNotCount) {
  Apply(Record(1));
  cold_until_ = now_ + seconds(3);
  Probe();
  ProbeResult other;
  other.answered = true;
  other.other_server = true;
  other.cold_remaining = Duration::zero();
  HandleProbeResult(pool_, cold_server, other, now_);
  EXPECT_TRUE(KnownCold());
}

// Guards against memory for each server that was ever removed.
TEST_F(ColdReportsTest, StateOfRemovedServersIsDropped) {
  constexpr int kServers = 200;
  for (int i = 0; i < kServers; ++i) {
    ServerRecord record = Record(1, i % 2 == 0 ? seconds(3) : seconds(0));
    record.id = BackendServerId("former" + std::to_string(i));
    Apply(record);
    ApplyRecords(pool_, {}, {record.id}, now_);
  }
  EXPECT_EQ(pool_.former_servers.size(), kServers / 2U);
  now_ += seconds(3);
  Apply(Record(1, std::chrono::hours(1)));
  Remove();
  EXPECT_EQ(pool_.former_servers.size(), 1U);
  now_ += std::chrono::minutes(2);
  ServerRecord other = Record(2, seconds(3));
  other.id = BackendServerId("i2");
  Apply(other);
  ApplyRecords(pool_, {}, {other.id}, now_);
  EXPECT_EQ(pool_.former_servers.count(other.id), 1U);
  EXPECT_EQ(pool_.former_servers.count(cold_server), 0U);
}

// Guards against the state of an ended server being taken for that of the one
// that was started under its id.
TEST_F(ColdReportsTest, NewIncarnationHasItsOwnColdState) {
  Apply(Record(1));
  cold_until_ = now_ + seconds(3);
  Probe();
  ServerRecord restarted = Record(2);
  restarted.incarnation = 2;
  Apply(restarted);
  EXPECT_FALSE(KnownCold());
  Probe();
  Remove();
  restarted.incarnation = 3;
  Apply(restarted);
  EXPECT_FALSE(KnownCold());
}

}  // namespace
}  // namespace mangodoor
