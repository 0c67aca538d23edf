#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "process/servers/server_table.h"
#include "routing/fleet_document.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using End = AttemptResult::End;
using ::testing::HasSubstr;

constexpr TimePoint kStart{std::chrono::hours(1)};

/** One instance, its clock, and the decisions on its waiting requests. */
class ServerChoiceTest : public ::testing::Test {
 protected:
  void Apply(const Document& document) {
    Run(ApplyVersion(pool_, *ToVersion(document), EntryAddress(0),
                     first_data_centre, now_));
  }

  /** A peer reports that all servers have been warm for 30 minutes. */
  void WarmAll(int servers) {
    for (int i = 0; i < servers; ++i)
      Report(ServerName(i), ServerState::kWarm, std::chrono::minutes(30));
  }

  void Report(const BackendServerId& server,
              ServerState state,
              Duration age = Duration::zero()) {
    ServerReport report;
    report.server = server;
    report.state = state;
    report.age = age;
    Run(HandleServerReports(pool_, {report}, now_));
  }

  ServerReply Acquire(const std::string& account = "",
                      std::vector<BackendServerId> tried = {}) {
    const ServerRequirements requirements{test_service,
                                          ClientAccountId(account),
                                          now_ + seconds(10), std::move(tried)};
    random_ = random_ * 6364136223846793005ULL + 1442695040888963407ULL;
    return AcquireServer(
        pool_, requirements, now_, random_, [this](auto decision) {
          if (auto* server = std::get_if<ChosenServer>(&decision))
            granted_.push_back(server->server);
          else
            refused_.push_back(std::get<ErrorKind>(decision));
        });
  }

  ServerActions Release(const BackendServerId& server,
                        End end,
                        Duration latency = milliseconds(20)) {
    AttemptResult result;
    result.end = end;
    result.latency = latency;
    ServerActions actions = ReleaseServer(pool_, server, result, now_);
    Run(actions);
    return actions;
  }

  /** Sends `count` requests in sequence, each answered after `latency`. */
  void Answer(int count, Duration latency) {
    for (int i = 0; i < count; ++i) {
      const ServerReply reply = Acquire();
      ASSERT_EQ(reply.state, ServerReply::State::kChosen);
      now_ += latency;
      Release(reply.chosen.server, End::kAnswered, latency);
    }
  }

  ServerStatus Status(int server) {
    return ServerStatuses(pool_, now_).at(server);
  }

  static void Run(const ServerActions& actions) {
    for (const auto& callback : actions.callbacks)
      callback();
  }

  ServerPool pool_;
  TimePoint now_ = kStart;
  uint64_t random_ = 1;
  std::vector<BackendServerId> granted_;
  std::vector<ErrorKind> refused_;
};

// Guards against full load on a server after an unannounced restart.
TEST_F(ServerChoiceTest, ResetMakesServerColdAtOnce) {
  Apply(FleetDocument(1, 1));
  WarmAll(1);
  EXPECT_EQ(Status(0).allowance, 3);
  Acquire();
  const ServerActions actions = Release(ServerName(0), End::kReset);
  EXPECT_EQ(Status(0).allowance, 1);
  EXPECT_THAT(Status(0).reason, HasSubstr("connection reset 0.0 s ago"));
  ASSERT_EQ(actions.reports.size(), 1U);
  EXPECT_EQ(actions.reports[0].state, ServerState::kCold);
}

// Guards against a server that becomes cold and still gets all requests for
// which it was chosen while warm.
TEST_F(ServerChoiceTest, ChosenRequestsAreNotSentOnceCold) {
  Apply(FleetDocument(1, 1));
  WarmAll(1);
  for (int i = 0; i < 3; ++i)
    Acquire();
  Report(ServerName(0), ServerState::kCold);
  EXPECT_FALSE(MayStillSend(pool_, ServerName(0), now_));
  Release(ServerName(0), End::kUnused);
  Release(ServerName(0), End::kUnused);
  EXPECT_TRUE(MayStillSend(pool_, ServerName(0), now_));
}

// Guards against capacity that is lost when a reservation is released unused.
TEST_F(ServerChoiceTest, UnusedReservationRestoresEverything) {
  Apply(FleetDocument(1, 1));
  WarmAll(1);
  const ServerEntry before = pool_.servers.at(ServerName(0));
  Acquire();
  Release(ServerName(0), End::kUnused, Duration::zero());
  const ServerEntry& after = pool_.servers.at(ServerName(0));
  EXPECT_EQ(after.outstanding, 0);
  EXPECT_TRUE(after.starts.empty());
  EXPECT_EQ(after.latency.samples, before.latency.samples);
  EXPECT_EQ(after.load_report.others, before.load_report.others);
  EXPECT_EQ(after.cold_start.warm_since, before.cold_start.warm_since);
}

// Guards against new work on servers that a version takes out of service.
TEST_F(ServerChoiceTest, OutOfServiceServersGetNoNewWork) {
  Document document = FleetDocument(2, 2);
  Apply(document);
  WarmAll(2);
  document.data_centres[1].in_service = false;
  Apply(document);
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(Acquire().chosen.server, ServerName(0));
  EXPECT_FALSE(MayStillSend(pool_, ServerName(1), now_));
  EXPECT_EQ(Acquire().state, ServerReply::State::kWaiting);
}

// Guards against requests that keep waiting when no server is left.
TEST_F(ServerChoiceTest, WaitingRequestsAreRefusedWhenNoServerIsLeft) {
  Document document = FleetDocument(1, 1);
  Apply(document);
  WarmAll(1);
  for (int i = 0; i < 4; ++i)
    Acquire();
  document.services[0].servers[0].mode = ServerMode::kDraining;
  Apply(document);
  EXPECT_EQ(refused_, std::vector<ErrorKind>{ErrorKind::kNoServer});
  EXPECT_EQ(Acquire().error, ErrorKind::kNoServer);
}

// Guards against full load on a server as soon as it is back in service.
TEST_F(ServerChoiceTest, ReturningServerRamps) {
  Document document = FleetDocument(1, 1);
  Apply(document);
  WarmAll(1);
  document.services[0].servers[0].mode = ServerMode::kDraining;
  Apply(document);
  document.services[0].servers[0].mode = ServerMode::kActive;
  Apply(document);
  EXPECT_EQ(Status(0).allowance, 1);
  now_ += seconds(10);
  EXPECT_EQ(Status(0).allowance, 3);
}

// Guards against losing the state of servers with every new version.
TEST_F(ServerChoiceTest, NewVersionKeepsServerState) {
  Document document = FleetDocument(2, 1);
  Apply(document);
  WarmAll(2);
  Answer(5, milliseconds(20));
  const ServerReply reply = Acquire();
  document.version = 2;
  Apply(document);
  EXPECT_EQ(Status(0).allowance, 3);
  EXPECT_EQ(Status(0).outstanding + Status(1).outstanding, 1);
  Release(reply.chosen.server, End::kAnswered);
  EXPECT_EQ(Status(0).outstanding + Status(1).outstanding, 0);
}

// Guards against a negative count of requests when a server is removed and
// added again.
TEST_F(ServerChoiceTest, DroppedServerKeepsItsCountUntilReleased) {
  Apply(FleetDocument(1, 1));
  WarmAll(1);
  Acquire();
  Document without = FleetDocument(1, 1);
  without.services[0].servers.clear();
  Apply(without);
  EXPECT_FALSE(MayStillSend(pool_, ServerName(0), now_));
  Apply(FleetDocument(1, 1));
  EXPECT_EQ(Status(0).outstanding, 1);
  EXPECT_EQ(Status(0).state, ServerState::kCold);
  Release(ServerName(0), End::kAnswered);
  EXPECT_EQ(Status(0).outstanding, 0);
}

// Guards against requests that queue on one server while another could be free
// first.
TEST_F(ServerChoiceTest, RequestWaitsUntilAServerIsFree) {
  Apply(FleetDocument(1, 1));
  WarmAll(1);
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(Acquire().state, ServerReply::State::kChosen);
  EXPECT_EQ(Acquire().state, ServerReply::State::kWaiting);
  Release(ServerName(0), End::kAnswered);
  EXPECT_EQ(granted_, std::vector<BackendServerId>{ServerName(0)});
}

// Guards against a callback after CancelWait().
TEST_F(ServerChoiceTest, CancelledWaitIsNotCalledBack) {
  Apply(FleetDocument(1, 1));
  WarmAll(1);
  for (int i = 0; i < 3; ++i)
    Acquire();
  const ServerReply reply = Acquire();
  CancelWait(pool_, test_service, reply.ticket);
  Release(ServerName(0), End::kAnswered);
  EXPECT_TRUE(granted_.empty());
}

// Guards against waits beyond the deadline and against unbounded queues.
TEST_F(ServerChoiceTest, WaitsAreBoundedInNumberAndTime) {
  Document document = FleetDocument(1, 1);
  document.services[0].queue_limit = 1;
  Apply(document);
  WarmAll(1);
  for (int i = 0; i < 4; ++i)
    Acquire();
  EXPECT_EQ(Acquire().error, ErrorKind::kQueueFull);
  now_ += seconds(11);
  Run(TickServers(pool_, now_));
  EXPECT_EQ(refused_, std::vector<ErrorKind>{ErrorKind::kDeadlineExceeded});
}

// Guards against a retry on the server that has just failed.
TEST_F(ServerChoiceTest, TriedServersAreSkipped) {
  Apply(FleetDocument(2, 1));
  WarmAll(2);
  for (int i = 0; i < 3; ++i)
    EXPECT_EQ(Acquire("", {ServerName(0)}).chosen.server, ServerName(1));
  EXPECT_EQ(Acquire("", {ServerName(0), ServerName(1)}).error,
            ErrorKind::kNoServer);
}

// Guards against sending more requests to a server that hangs: no response ever
// shows its latency.
TEST_F(ServerChoiceTest, OldRequestEjectsServer) {
  Apply(FleetDocument(4, 1));
  WarmAll(4);
  Answer(100, milliseconds(20));
  const BackendServerId hanging = Acquire().chosen.server;
  now_ += milliseconds(300);
  const ServerActions actions = TickServers(pool_, now_);
  ASSERT_EQ(actions.reports.size(), 1U);
  EXPECT_EQ(actions.reports[0].server, hanging);
  EXPECT_EQ(actions.reports[0].state, ServerState::kSlow);
  for (int i = 0; i < 9; ++i)
    EXPECT_NE(Acquire().chosen.server, hanging);
}

// Guards against a fleet-wide slowdown that ejects every server.
TEST_F(ServerChoiceTest, AtMostHalfIsEjected) {
  Apply(FleetDocument(4, 1));
  WarmAll(4);
  Answer(100, milliseconds(20));
  for (int i = 0; i < 12; ++i)
    Acquire();
  now_ += seconds(1);
  TickServers(pool_, now_);
  int slow = 0;
  for (int i = 0; i < 4; ++i)
    slow += Status(i).state == ServerState::kSlow;
  EXPECT_EQ(slow, 2);
}

// Guards against a server that fails fast and therefore looks fast and idle.
TEST_F(ServerChoiceTest, FailingFastEjectsServer) {
  Apply(FleetDocument(2, 1));
  WarmAll(2);
  int sent_to_failing = 0;
  for (int i = 0; i < 200; ++i) {
    const ServerReply reply = Acquire();
    const bool fails = reply.chosen.server == ServerName(0);
    sent_to_failing += fails;
    Release(reply.chosen.server, fails ? End::kServerError : End::kAnswered,
            fails ? milliseconds(1) : milliseconds(20));
  }
  EXPECT_LE(sent_to_failing, 5);
  EXPECT_EQ(Status(0).state, ServerState::kSlow);
}

// Guards against a server that stays ejected after it has recovered, and
// against a peer's report that never expires.
TEST_F(ServerChoiceTest, GoodTrialsEndAnEjection) {
  Apply(FleetDocument(2, 1));
  WarmAll(2);
  Report(ServerName(0), ServerState::kSlow);
  EXPECT_EQ(Acquire().chosen.server, ServerName(1));
  Release(ServerName(1), End::kAnswered);
  now_ += seconds(2);
  for (int i = 0; i < 3; ++i) {
    EXPECT_EQ(Acquire().chosen.server, ServerName(0));
    Release(ServerName(0), End::kAnswered);
  }
  EXPECT_EQ(Status(0).state, ServerState::kWarm);
}

// Guards against a peer with a bad network whose reports make all instances
// eject healthy servers.
TEST_F(ServerChoiceTest, PeerReportAgainstOwnMeasurementsIsIgnored) {
  Apply(FleetDocument(2, 1));
  WarmAll(2);
  Answer(100, milliseconds(20));
  Report(ServerName(0), ServerState::kSlow);
  EXPECT_EQ(Status(0).state, ServerState::kWarm);
}

// Guards against one instance with a broken network that makes the whole fleet
// treat servers as cold.
TEST_F(ServerChoiceTest, CutOffInstanceDoesNotReportBrokenConnections) {
  Apply(FleetDocument(4, 1));
  WarmAll(4);
  size_t shared = 0;
  for (int i = 0; i < 4; ++i) {
    const ServerReply reply = Acquire();
    shared += Release(reply.chosen.server, End::kConnectFailed).reports.size();
  }
  EXPECT_LE(shared, 2U);
}

// Guards against connecting again and again to a server that accepts no
// connections.
TEST_F(ServerChoiceTest, FailedConnectionBacksOff) {
  Apply(FleetDocument(1, 1));
  WarmAll(1);
  Acquire();
  Release(ServerName(0), End::kConnectFailed);
  EXPECT_EQ(Status(0).state, ServerState::kDown);
  EXPECT_EQ(Acquire().error, ErrorKind::kNoServer);
  now_ += seconds(1);
  EXPECT_EQ(Acquire().state, ServerReply::State::kChosen);
}

// Guards against a new instance that treats warm servers as cold, or a cold one
// as warm.
TEST_F(ServerChoiceTest, NewPeerAdoptsKnownStates) {
  Apply(FleetDocument(2, 1));
  WarmAll(2);
  Report(ServerName(1), ServerState::kCold);
  ServerPool newcomer;
  ApplyVersion(newcomer, *ToVersion(FleetDocument(2, 1)), EntryAddress(0),
               first_data_centre, now_);
  HandleServerReports(newcomer, KnownServerStates(pool_, now_), now_);
  const auto statuses = ServerStatuses(newcomer, now_);
  EXPECT_EQ(statuses[0].allowance, 3);
  EXPECT_EQ(statuses[1].state, ServerState::kCold);
}

// Guards against hedges before the usual latency is known, and against an
// overload that hedges sustain.
TEST_F(ServerChoiceTest, HedgeDelayIsAtLeastFourMeans) {
  Apply(FleetDocument(2, 1));
  WarmAll(2);
  EXPECT_FALSE(HedgeDelay(pool_, test_service));
  Answer(100, milliseconds(20));
  const Duration delay = HedgeDelay(pool_, test_service).value();
  EXPECT_EQ(delay, milliseconds(80));
}

// Guards against a function that locks the table twice, at which OrderedLock
// aborts.
TEST(ServerTableTest, WrappersLockOnce) {
  ServerTable table;
  ApplyVersion(table, *ToVersion(FleetDocument(1, 1)), EntryAddress(0),
               first_data_centre, kStart);
  const ServerRequirements requirements{
      test_service, ClientAccountId(), kStart + seconds(1), {}};
  const ServerReply reply =
      AcquireServer(table, requirements, kStart, 0, nullptr);
  EXPECT_EQ(reply.state, ServerReply::State::kChosen);
  EXPECT_TRUE(MayStillSend(table, ServerName(0), kStart));
  ReleaseServer(table, ServerName(0), {}, kStart);
  EXPECT_EQ(ServerStatuses(table, kStart).at(0).outstanding, 0);
}

}  // namespace
}  // namespace mangodoor
