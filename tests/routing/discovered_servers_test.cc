#include <map>
#include <set>

#include "routing/discovered_servers_fixture.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against work for a server that is draining, was removed, or is in a
// data centre that an operator took out; and against a server that gets no work
// after its data centre is back.
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

// Guards against sending a request to a server that began to drain after it was
// chosen.
TEST_F(DiscoveredServersTest, DrainingServerGetsNoChosenRequest) {
  Apply({Record(1, here)});
  const BackendServerId chosen = Choose();
  EXPECT_TRUE(MayStillSend(pool_, chosen, now_));
  ServerRecord leaving = Record(1, here);
  leaving.draining = true;
  Apply({leaving});
  EXPECT_FALSE(MayStillSend(pool_, chosen, now_));
}

// Guards against keeping the state of a server that restarted with the same
// id.
TEST_F(DiscoveredServersTest, NewIncarnationResetsState) {
  Apply({Record(1, here), Record(2, here)});
  reported_loads_[BackendServerId("i2")] = {3, 0, 3, 1};
  ASSERT_EQ(Choose().value(), "i1");
  AttemptResult broken;
  broken.end = AttemptResult::End::kConnectFailed;
  ReleaseServer(pool_, BackendServerId("i1"), broken, now_);
  const ServerEntry* entry = FindServer(pool_, BackendServerId("i1"));
  ASSERT_TRUE(IsEjected(entry->ejection));
  ServerRecord restarted = Record(1, here);
  restarted.incarnation = 2;
  Apply({restarted});
  EXPECT_FALSE(IsEjected(FindServer(pool_, restarted.id)->ejection));
}

// Guards against responses from another data centre, which cost more than a
// short wait, while a server of this data centre is free.
TEST_F(DiscoveredServersTest, OwnDataCentreIsPreferred) {
  Apply({Record(1, here), Record(2, there), Record(3, there)});
  EXPECT_EQ(Choose().value(), "i1");
  EXPECT_EQ(Choose().value(), "i1");
}

// Guards against work for a server that reports that it is slow, and for one
// that other instances keep busy.
TEST_F(DiscoveredServersTest, ReportedLoadDecidesTheChoice) {
  Apply({Record(1, here), Record(2, here), Record(3, here)});
  reported_loads_[BackendServerId("i1")] = {1, 0, 3, 5};
  reported_loads_[BackendServerId("i2")] = {3, 4, 3, 1};
  for (int i = 0; i < 2; ++i) {
    now_ += seconds(1);
    EXPECT_EQ(Choose().value(), "i3");
  }
}

// Guards against a request that is sent to a slowed server, where it would be
// late, although another server may become free in time; and against one that
// waits for a good server until it misses its deadline.
TEST_F(DiscoveredServersTest, SlowedServerIsTheLastResort) {
  Apply({Record(1, here)});
  RecordLatency(FindService(pool_, work_service)->work_model,
                {true, "", 1, false, {}}, milliseconds(20), now_);
  // Work usually takes 20 ms, on this server 100 ms.
  reported_loads_[BackendServerId("i1")] = {0, 0, 3, 5};
  now_ += seconds(1);
  ServerRequirements requirements;
  requirements.target_at = now_ + milliseconds(90);
  requirements.deadline = now_ + milliseconds(400);
  EXPECT_TRUE(Choose(requirements).empty());
  requirements.target_at = now_ + milliseconds(200);
  now_ += milliseconds(30);
  EXPECT_EQ(Choose(requirements).value(), "i1");
  Answer(BackendServerId("i1"));
  now_ += seconds(1);
  requirements.target_at = now_ - milliseconds(10);
  requirements.deadline = now_ + milliseconds(120);
  EXPECT_EQ(Choose(requirements).value(), "i1");
}

// Guards against a request that is sent to a slowed server and misses its
// target (1163 ms instead of 600 ms) or its deadline, because the expected time
// was that of a shorter route, or its own route had no response yet.
TEST_F(DiscoveredServersTest, WorkIsEstimatedForEachRoute) {
  Apply({Record(1, here)});
  ServiceEntry* service = FindService(pool_, work_service);
  for (int i = 0; i < 40; ++i)
    RecordLatency(service->work_model, {true, "short", 1, false, {}},
                  milliseconds(2), now_);
  reported_loads_[BackendServerId("i1")] = {0, 0, 3, 5};
  now_ += seconds(1);
  ServerRequirements requirements;
  requirements.target = milliseconds(600);
  requirements.target_at = now_ + requirements.target;
  requirements.deadline = now_ + milliseconds(1200);
  requirements.route = "short";
  EXPECT_EQ(Choose(requirements).value(), "i1");
  Answer(BackendServerId("i1"));
  now_ += seconds(1);
  requirements.target_at = now_ + requirements.target;
  requirements.deadline = now_ + milliseconds(1200);
  requirements.route = "long";
  EXPECT_TRUE(Choose(requirements).empty());
}

// Guards against requests that all wait for a server that does not answer
// probes.
TEST_F(DiscoveredServersTest, UnresponsiveServerIsAvoided) {
  Apply({Record(1, here), Record(2, here)});
  unresponsive_ = {BackendServerId("i1")};
  for (int i = 0; i < 20; ++i) {
    now_ += milliseconds(10);
    const BackendServerId chosen = Choose();
    EXPECT_EQ(chosen.value(), "i2");
    Answer(chosen);
  }
  unresponsive_.clear();
  now_ += seconds(10);
  std::set<std::string> seen;
  for (int i = 0; i < 20; ++i) {
    now_ += milliseconds(10);
    seen.insert(Choose().value());
  }
  EXPECT_EQ(seen.count("i1"), 1U);
}

// Guards against a service that gets no work because its servers do not report
// their load.
TEST_F(DiscoveredServersTest, ServersWithoutLoadReportsAreUsed) {
  reports_load_ = false;
  Apply({Record(1, here), Record(2, here)});
  Choose();
  for (int i = 0; i < 4; ++i)
    EXPECT_FALSE(Choose().empty());
}

// Guards against review case 8: a server that does not report its load turned
// cold again, and got 60 requests in one second, 23 allowed, until its record
// said so.
TEST_F(DiscoveredServersTest, ColdServerWithoutLoadReportsIsNotFlooded) {
  reports_load_ = false;
  const BackendServerId server("i1");
  Apply({Record(1, here)});
  pool_.probes_per_s = 60;
  cold_until_[server] = now_;
  std::vector<TimePoint> sent_while_cold;
  for (int i = 0; i < 600; ++i) {
    now_ += milliseconds(1000 / 60);
    if (i == 300)
      cold_until_[server] = now_ + seconds(3);
    if (Choose().empty())
      continue;
    if (now_ < cold_until_[server])
      sent_while_cold.push_back(now_);
    Answer(server);
  }
  // A third of 12 a second is the share of this instance.
  EXPECT_GE(sent_while_cold.size(), 9U);
  size_t first = 0;
  for (size_t last = 0; last < sent_while_cold.size(); ++last) {
    while (sent_while_cold[last] - sent_while_cold[first] >= seconds(1))
      ++first;
    EXPECT_LE(last - first + 1, 4U);
  }
  // This instance's share of 60 probes a second for 10 s, and saved ones.
  EXPECT_LE(probes_, 60 * 10 / 3 + 21);
}

// Guards against requests that wait for a load report until their deadline,
// although the servers of their service turn out not to report any.
TEST_F(DiscoveredServersTest, WaitingRequestsAreSentWithoutLoadReports) {
  reports_load_ = false;
  Apply({Record(1, here)});
  ServerRequirements requirements;
  requirements.service = work_service;
  requirements.deadline = now_ + seconds(1);
  int chosen = 0;
  std::vector<ServerReply> replies;
  for (uint64_t i = 0; i < 3; ++i) {
    replies.push_back(AcquireServer(
        pool_, requirements, now_, i,
        [&chosen](const std::variant<ChosenServer, ErrorKind>& decision) {
          chosen += std::holds_alternative<ChosenServer>(decision) ? 1 : 0;
        }));
    EXPECT_EQ(replies.back().state, ServerReply::State::kWaiting);
  }
  for (const ServerReply& reply : replies)
    Run(reply.actions);
  EXPECT_EQ(chosen, 3);
}

// Guards against a busy server that is taken for cold because its probes wait
// behind requests, as those of servers without load reports do.
TEST_F(DiscoveredServersTest, ServerWithoutLoadReportsWorksWithoutProbes) {
  reports_load_ = false;
  Apply({Record(1, here)});
  Choose();
  Answer(BackendServerId("i1"));
  unresponsive_ = {BackendServerId("i1")};
  int served = 0;
  for (int i = 0; i < 1000; ++i) {
    now_ += milliseconds(10);
    if (Choose().empty())
      continue;
    ++served;
    Answer(BackendServerId("i1"));
  }
  // Its share of the requests to a cold server, for 10 s.
  EXPECT_GE(served, 4 * 9);
}

// Guards against exceeding the limit on probes of a server by all instances.
TEST_F(DiscoveredServersTest, ProbesStayWithinTheBudget) {
  pool_.probes_per_s = 30;
  Apply({Record(1, here)});
  reported_loads_[BackendServerId("i1")] = {3, 5, 3, 1};
  for (int i = 0; i < 2000; ++i) {
    now_ += milliseconds(5);
    Choose();
  }
  // Three instances share 30 probes a second for 10 s; up to 20 are saved.
  EXPECT_LE(probes_, 10 * 10 + 21);
  EXPECT_GE(probes_, 50);
}

// Guards against using the last slot of servers that slow down when nearly
// full, which lowers their throughput.
TEST_F(DiscoveredServersTest, LastSlotIsLeftFreeWhereItCostsMore) {
  Apply({Record(1, here)});
  ServiceEntry* service = FindService(pool_, work_service);
  EXPECT_EQ(BestConcurrency(service->work_model, 3, now_), 3);
  for (int i = 0; i < 40; ++i) {
    RecordLatency(service->work_model, {true, "", 1, false, {}},
                  milliseconds(60), now_);
    RecordLatency(service->work_model, {true, "", 1, true, {}},
                  milliseconds(102), now_);
  }
  EXPECT_EQ(BestConcurrency(service->work_model, 3, now_), 2);
  EXPECT_FALSE(Choose().empty());
  EXPECT_FALSE(Choose().empty());
  EXPECT_TRUE(Choose().empty());
}

// Guards against a cold server that gets more requests from all instances
// together than its limit (a server got 24 in one second during a failback).
TEST_F(DiscoveredServersTest, ColdRateIsSharedByTheDataCentre) {
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
  // A cold server of another data centre.
  cold.data_centre = there;
  cold.id = BackendServerId("i2");
  Apply({cold}, {BackendServerId("i1")});
  EXPECT_TRUE(Choose().empty());
  pool_.shares.cold.unattended = {there};
  EXPECT_EQ(Choose().value(), "i2");
  pool_.shares.cold.unattended.clear();
  now_ += seconds(3);
  EXPECT_EQ(Choose().value(), "i2");
}

// Guards against a server that counts as one of another data centre, and so
// gets nothing while it is cold, because its record came before the first
// document.
TEST_F(DiscoveredServersTest, RecordMayComeBeforeTheFirstDocument) {
  pool_ = ServerPool();
  ServerRecord cold = Record(1, here);
  cold.cold_remaining = seconds(3);
  Apply({cold});
  ApplyDocument();
  EXPECT_TRUE(FindServer(pool_, cold.id)->own_data_centre);
  EXPECT_EQ(Choose().value(), "i1");
}

// Guards against a cold server to which each of many instances sends one
// request a second.
TEST_F(DiscoveredServersTest, ColdRateBelowOnePerSecondIsSpread) {
  pool_.shares.cold.own_data_centre = 1.0 / 36;
  pool_.shares.cold.phase = 0.5;
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
  // 36 instances share 12 requests a second: each sends one every 3 s.
  EXPECT_EQ(sent, 10);
}

// Guards against an instance that floods a cold server because it knows no
// other instance that could be sending, as after its start.
TEST_F(DiscoveredServersTest, NothingIsSentToColdServersWithoutAShare) {
  ServerRecord cold = Record(1, here);
  cold.cold_remaining = seconds(3);
  Apply({cold});
  pool_.shares.cold = {};
  for (int i = 0; i < 30; ++i) {
    EXPECT_TRUE(Choose().empty()) << i;
    now_ += milliseconds(100);
  }
  EXPECT_EQ(Choose().value(), "i1");
}

// Guards against a service whose servers are no longer asked for their load,
// nor whether they are cold, because one of them refused a probe.
TEST_F(DiscoveredServersTest, RefusedProbeDoesNotEndPlacementByLoad) {
  Apply({Record(1, here)});
  ProbeResult refused;
  refused.answered = true;
  HandleProbeResult(pool_, BackendServerId("i1"), refused, now_);
  EXPECT_TRUE(UsesPlacement(*FindService(pool_, work_service)));
}

// Guards against a service that is taken for one without load reports for good.
TEST_F(DiscoveredServersTest, ResponseWithALoadBeginsPlacementByLoad) {
  Apply({Record(1, here)});
  ProbeResult without_load;
  without_load.answered = true;
  without_load.healthy = true;
  HandleProbeResult(pool_, BackendServerId("i1"), without_load, now_);
  ASSERT_FALSE(UsesPlacement(*FindService(pool_, work_service)));
  const BackendServerId chosen = Choose();
  ASSERT_FALSE(chosen.empty());
  Answer(chosen, ServerLoad{1, 0, 3, 1});
  EXPECT_TRUE(UsesPlacement(*FindService(pool_, work_service)));
}

// Guards against more connections than a server accepts from the fleet.
TEST_F(DiscoveredServersTest, ConnectionsAreShared) {
  FindService(pool_, work_service)->connection_limit = 60;
  RecordInstanceCount(pool_.instance_count, 20, now_);
  Apply({Record(1, here)});
  ASSERT_FALSE(Choose().empty());
  EXPECT_EQ(connection_limit_, 60 / 20);
}

// Guards against more connections than a server accepts from the fleet, opened
// by instances that have just started, and know only themselves, or are cut off
// from the others. The fleets are those of users.
TEST_F(DiscoveredServersTest, InstancesAloneStayWithinTheConnectionLimit) {
  struct Fleet {
    int instances;
    int connection_limit;
  };
  pool_.shares.instances = {{here, 1}};
  Apply({Record(1, here)});
  for (const Fleet& fleet :
       {Fleet{14, 220}, Fleet{19, 260}, Fleet{108, 940}, Fleet{116, 1000}}) {
    FindService(pool_, work_service)->connection_limit = fleet.connection_limit;
    ASSERT_FALSE(Choose().empty());
    EXPECT_LE(connection_limit_ * fleet.instances, fleet.connection_limit);
    Answer(BackendServerId("i1"));
  }
}

// Guards against connections that do not suffice for the requests and the probe
// that an instance sends to a server at the same time.
TEST_F(DiscoveredServersTest, ConnectionsSufficeForAllSlotsAndAProbe) {
  Apply({Record(1, here)});
  for (int running = 0; running < 3; ++running) {
    ASSERT_FALSE(Choose().empty());
    EXPECT_GE(connection_limit_, 3 + 1);
  }
  EXPECT_TRUE(Choose().empty());
}

// Guards against counting the capacity of servers that get no work: callers
// would be sent to the wrong data centre.
TEST_F(DiscoveredServersTest, CapacityCountsUsableServers) {
  ServerRecord leaving = Record(3, there);
  leaving.draining = true;
  Apply({Record(1, here), Record(2, there), leaving});
  const std::map<DataCentreId, double> expected = {{here, 3}, {there, 3}};
  EXPECT_EQ(CapacityOf(pool_, {work_service}, now_), expected);
}

}  // namespace
}  // namespace mangodoor
