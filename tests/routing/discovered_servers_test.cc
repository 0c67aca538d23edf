#include <gtest/gtest.h>

#include <map>
#include <set>

#include "process/servers/server_pool.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const ServiceId work("work");
const DataCentreId here("here");
const DataCentreId there("there");
constexpr TimePoint kStart{std::chrono::hours(1)};

ServerRecord Record(int number, const DataCentreId& data_centre) {
  ServerRecord record;
  record.id = BackendServerId("i" + std::to_string(number));
  record.service = work;
  record.data_centre = data_centre;
  record.endpoint = {"10.0.0." + std::to_string(number), 80};
  record.slots = 3;
  record.lifetime = 1;
  return record;
}

class DiscoveredServersTest : public testing::Test {
 protected:
  DiscoveredServersTest() {
    Service service;
    service.id = work;
    service.discovered = true;
    service.cold_rate_per_s = 12;
    service.connection_limit = 220;
    Document document;
    document.version = 1;
    document.services = {service};
    ApplyVersion(pool_, *MakeVersion(document, "", ""), {}, here, now_);
    NoteInstances(pool_, {{here, 3}, {there, 4}});
  }

  void Apply(const std::vector<ServerRecord>& records,
             const std::vector<BackendServerId>& gone = {}) {
    ApplyRecords(pool_, records, gone, now_);
  }

  /** The server chosen for a request, or an empty id. */
  BackendServerId Choose() {
    const ServerReply reply =
        AcquireServer(pool_, {work, ClientAccountId(), now_ + seconds(1), {}},
                      now_, ++random_, [](auto) {});
    if (reply.state == ServerReply::State::kWaiting)
      CancelWait(pool_, work, reply.ticket);
    return reply.state == ServerReply::State::kChosen ? reply.chosen.server
                                                      : BackendServerId();
  }

  void Answer(const BackendServerId& server,
              std::optional<LoadStatement> statement = std::nullopt) {
    AttemptResult result;
    result.end = AttemptResult::End::kAnswered;
    result.latency = milliseconds(20);
    result.statement = statement;
    ReleaseServer(pool_, server, result, now_);
  }

  ServerPool pool_;
  TimePoint now_ = kStart;
  uint64_t random_ = 0;
};

// Guards against work for a server that leaves, is gone, or is in a data
// centre that an operator took out, and for one that is not back yet.
TEST_F(DiscoveredServersTest, OnlyServersInServiceGetWork) {
  ServerRecord leaving = Record(1, here);
  Apply({leaving});
  EXPECT_EQ(Choose().value(), "i1");
  leaving.draining = true;
  Apply({leaving});
  EXPECT_TRUE(Choose().empty());
  Apply({Record(2, here)});
  EXPECT_EQ(Choose().value(), "i2");
  Apply({}, {BackendServerId("i2")});
  EXPECT_TRUE(Choose().empty());
  Apply({Record(3, there)});
  EXPECT_EQ(Choose().value(), "i3");
  SetDataCentreOut(pool_, there, true, now_);
  EXPECT_TRUE(Choose().empty());
  SetDataCentreOut(pool_, there, false, now_);
  EXPECT_EQ(Choose().value(), "i3");
}

// Guards against a request that is sent to a chosen server after it began to
// leave.
TEST_F(DiscoveredServersTest, ChosenServerThatLeavesIsNotSentTo) {
  Apply({Record(1, here)});
  const BackendServerId chosen = Choose();
  EXPECT_TRUE(MayStillSend(pool_, chosen, now_));
  ServerRecord leaving = Record(1, here);
  leaving.draining = true;
  Apply({leaving});
  EXPECT_FALSE(MayStillSend(pool_, chosen, now_));
}

// Guards against what was known of a server before it started again under its
// old id.
TEST_F(DiscoveredServersTest, NewLifetimeStartsAnew) {
  Apply({Record(1, here), Record(2, here)});
  for (int i = 0; i < 20; ++i) {
    const BackendServerId chosen = Choose();
    if (chosen.value() != "i1") {
      Answer(chosen);
      continue;
    }
    AttemptResult broken;
    broken.end = AttemptResult::End::kConnectFailed;
    ReleaseServer(pool_, chosen, broken, now_);
    break;
  }
  const ServerEntry* entry = FindServer(pool_, BackendServerId("i1"));
  ASSERT_TRUE(IsEjected(entry->ejection));
  ServerRecord again = Record(1, here);
  again.lifetime = 2;
  Apply({again});
  EXPECT_FALSE(IsEjected(FindServer(pool_, again.id)->ejection));
}

// Guards against answers from another data centre, which cost more than a
// short wait, while a server of the own one is free.
TEST_F(DiscoveredServersTest, OwnDataCentreGoesFirst) {
  Apply({Record(1, here), Record(2, there), Record(3, there)});
  EXPECT_EQ(Choose().value(), "i1");
  EXPECT_EQ(Choose().value(), "i1");
}

// Guards against work for a server that says it is slow at this moment, and
// for one that others keep busy.
TEST_F(DiscoveredServersTest, StatementsOfLoadCount) {
  Apply({Record(1, here), Record(2, here), Record(3, here)});
  std::set<std::string> seen;
  while (seen.size() < 3) {
    const BackendServerId chosen = Choose();
    ASSERT_FALSE(chosen.empty());
    seen.insert(chosen.value());
  }
  Answer(BackendServerId("i1"), LoadStatement{1, 0, 3, 5});
  Answer(BackendServerId("i2"), LoadStatement{3, 4, 3, 1});
  Answer(BackendServerId("i3"), LoadStatement{0, 0, 3, 1});
  EXPECT_EQ(Choose().value(), "i3");
  EXPECT_EQ(Choose().value(), "i3");
}

// Guards against a cold server that gets more than it bears from all instances
// together (FAILBACK at 24 requests in a second, on a day of the users).
TEST_F(DiscoveredServersTest, ColdServerIsSharedByItsDataCentre) {
  ServerRecord cold = Record(1, here);
  cold.cold_remaining = seconds(3);
  Apply({cold});
  int sent = 0;
  for (int i = 0; i < 100; ++i) {
    now_ += milliseconds(10);
    const BackendServerId chosen = Choose();
    if (chosen.empty())
      continue;
    ++sent;
    Answer(chosen);
  }
  EXPECT_GE(sent, 1);
  EXPECT_LE(sent, 12 / 3);
  // The same server, as an instance of another data centre sees it.
  cold.data_centre = there;
  cold.id = BackendServerId("i2");
  Apply({cold}, {BackendServerId("i1")});
  EXPECT_TRUE(Choose().empty());
  NoteInstances(pool_, {{here, 3}});
  EXPECT_EQ(Choose().value(), "i2");
  NoteInstances(pool_, {{here, 3}, {there, 4}});
  now_ += seconds(3);
  EXPECT_EQ(Choose().value(), "i2");
}

// Guards against a cold server that many instances send one request a second
// each.
TEST_F(DiscoveredServersTest, SmallColdSharesAreSpreadOverTime) {
  NoteInstances(pool_, {{here, 36}});
  ServerRecord cold = Record(1, here);
  cold.cold_remaining = seconds(60);
  Apply({cold});
  int sent = 0;
  for (int i = 0; i < 300; ++i) {
    now_ += milliseconds(100);
    const BackendServerId chosen = Choose();
    if (chosen.empty())
      continue;
    ++sent;
    Answer(chosen);
  }
  // 36 instances share 12 a second: one every three seconds.
  EXPECT_EQ(sent, 10);
}

// Guards against connections beyond what a server accepts from the fleet.
TEST_F(DiscoveredServersTest, ConnectionsAreShared) {
  Apply({Record(1, here)});
  const ServerReply reply =
      AcquireServer(pool_, {work, ClientAccountId(), now_ + seconds(1), {}},
                    now_, 1, [](auto) {});
  ASSERT_EQ(reply.state, ServerReply::State::kChosen);
  EXPECT_EQ(reply.chosen.connection_limit, 220 / 7);
}

// Guards against capacity of servers that get no work, by which callers would
// be sent to the wrong data centre.
TEST_F(DiscoveredServersTest, CapacityCountsUsableServers) {
  ServerRecord leaving = Record(3, there);
  leaving.draining = true;
  Apply({Record(1, here), Record(2, there), leaving});
  const std::map<DataCentreId, double> expected = {{here, 3}, {there, 3}};
  EXPECT_EQ(CapacityOf(pool_, {work}, now_), expected);
}

}  // namespace
}  // namespace mangodoor
