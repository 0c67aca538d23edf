#include <algorithm>

#include "process/error_kind.h"
#include "routing/discovered_servers_fixture.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Requests of one route, sent regularly, and how long their work takes. */
struct Load {
  std::string route = "route";
  Duration interval = milliseconds(500);
  Duration work{};
  Duration timeout{};
  bool idempotent = true;
};

/** What became of a load's requests. */
struct Served {
  int requests = 0;
  int sent = 0;
  int answered = 0;
  /** Time without an answer, at most. */
  Duration longest_gap{};
};

// The estimate of the time that work takes is learned from answers only, and
// decides which requests are sent. These tests guard against an estimate that
// outlives what it was learned from, because it ends its own observations.
class WorkEstimateTest : public DiscoveredServersTest {
 protected:
  WorkEstimateTest() { Apply({Record(1, here), Record(2, here)}); }

  Served Play(const Load& load, Duration duration) {
    Served served;
    const TimePoint end = now_ + duration;
    TimePoint last_answer = now_;
    while (now_ < end) {
      const TimePoint next = now_ + load.interval;
      ++served.requests;
      if (Send(load, served))
        last_answer = now_;
      served.longest_gap = std::max(served.longest_gap, now_ - last_answer);
      now_ = std::max(next, now_);
    }
    return served;
  }

  /** Sends one request. Returns true if it was answered in time. */
  bool Send(const Load& load, Served& served) {
    ServerRequirements requirements;
    requirements.route = load.route;
    requirements.target = milliseconds(250);
    requirements.target_at = now_ + requirements.target;
    requirements.deadline = now_ + load.timeout;
    requirements.idempotent = load.idempotent;
    const auto chosen = ChooseServer(requirements);
    if (!chosen)
      return false;
    ++served.sent;
    AttemptResult result;
    result.placement = chosen->placement;
    result.latency = std::min(load.work, load.timeout);
    const bool answered = load.work < load.timeout;
    result.end =
        answered ? AttemptResult::End::kAnswered : AttemptResult::End::kTimeout;
    now_ += result.latency;
    ReleaseServer(pool_, chosen->server, result, now_);
    served.answered += answered ? 1 : 0;
    return answered;
  }

  static Load Slow() {
    return {"route", milliseconds(500), milliseconds(1200), milliseconds(3000)};
  }
};

// Guards against review case 7: after a route got faster servers and a shorter
// time-out, all its requests were refused for ever.
TEST_F(WorkEstimateTest, ShorterTimeoutIsServedOnceServersAreFaster) {
  EXPECT_EQ(Play(Slow(), seconds(20)).answered, 17);
  const Served later =
      Play({"route", milliseconds(500), milliseconds(100), milliseconds(500)},
           seconds(20));
  EXPECT_GE(later.answered, later.requests * 9 / 10);
}

// Guards against the same fault in a service with little traffic, whose
// estimate is old in seconds and young in observations.
TEST_F(WorkEstimateTest, RareRequestsAreServedOnceServersAreFaster) {
  Load load = Slow();
  load.interval = seconds(10);
  Play(load, seconds(300));
  load.work = milliseconds(100);
  load.timeout = milliseconds(500);
  const Served later = Play(load, seconds(100));
  EXPECT_GE(later.answered, 9);
}

// Guards against a slow server that is flooded with requests that it cannot
// answer in time, and against callers that wait for nothing.
TEST_F(WorkEstimateTest, SlowServersGetFewTrials) {
  Play(Slow(), seconds(20));
  const Served later =
      Play({"route", milliseconds(20), milliseconds(1200), milliseconds(500)},
           seconds(60));
  EXPECT_EQ(later.answered, 0);
  EXPECT_GE(later.sent, 10);
  EXPECT_LE(later.sent, 20);
  EXPECT_EQ(refusal_, ErrorKind::kDeadlineExceeded);
}

// Guards against a route that stays refused for long after its servers have
// become faster.
TEST_F(WorkEstimateTest, EndOfASlowPhaseIsFoundWithinSeconds) {
  Load load{"route", milliseconds(50), milliseconds(1200), milliseconds(500)};
  Play(Slow(), seconds(20));
  Play(load, seconds(60));
  load.work = milliseconds(100);
  EXPECT_LE(Play(load, seconds(20)).longest_gap, milliseconds(4500));
}

// Guards against many requests that may run only once, and whose callers do not
// learn whether they ran.
TEST_F(WorkEstimateTest, RequestsThatMayRunOnceAreTriedLessOften) {
  Play(Slow(), seconds(20));
  Load load{"route", milliseconds(20), milliseconds(1200), milliseconds(500)};
  load.idempotent = false;
  const Served refused = Play(load, seconds(60));
  EXPECT_GE(refused.sent, 2);
  EXPECT_LE(refused.sent, 5);
  load.work = milliseconds(100);
  EXPECT_LE(Play(load, seconds(60)).longest_gap, milliseconds(16500));
}

// Guards against a caller that waits until its deadline for a trial that no
// server is free for.
TEST_F(WorkEstimateTest, TrialDoesNotWaitForAServer) {
  Play(Slow(), seconds(20));
  now_ += seconds(2);
  for (const char* id : {"i1", "i2"})
    reported_loads_[BackendServerId(id)] = {3, 4, 3, 1};
  ServerRequirements requirements;
  requirements.service = work_service;
  requirements.route = "route";
  requirements.deadline = now_ + milliseconds(500);
  std::optional<ErrorKind> refusal;
  const ServerReply reply = AcquireServer(
      pool_, requirements, now_, 1,
      [&refusal](const std::variant<ChosenServer, ErrorKind>& decision) {
        refusal = std::get<ErrorKind>(decision);
      });
  EXPECT_EQ(reply.state, ServerReply::State::kWaiting);
  now_ += milliseconds(100);
  Run(TickServers(pool_, now_));
  EXPECT_EQ(refusal, ErrorKind::kDeadlineExceeded);
}

// Guards against an estimate that is used for a route that was removed, and
// added again for other work.
TEST_F(WorkEstimateTest, RemovedRouteIsForgotten) {
  Play(Slow(), seconds(20));
  EXPECT_EQ(FindService(pool_, work_service)->work_model.routes.size(), 1U);
  ApplyDocument();
  EXPECT_TRUE(FindService(pool_, work_service)->work_model.routes.empty());
}

// Guards against a version that makes an instance forget the estimates of the
// routes that it keeps.
TEST_F(WorkEstimateTest, RouteThatStaysIsNotForgotten) {
  Route kept;
  kept.host = "a.example";
  kept.path_prefix = "/kept/";
  kept.service = work_service;
  Route elsewhere = kept;
  elsewhere.path_prefix = "/elsewhere/";
  elsewhere.service = ServiceId("other");
  Route shared = kept;
  shared.path_prefix = "/shared/";
  shared.service = ServiceId();
  shared.split = {{ServiceId("other"), 1}, {work_service, 1}};
  for (const Route& route : {kept, elsewhere, shared}) {
    Load load = Slow();
    load.route = NameOf(route);
    Play(load, seconds(2));
  }
  ApplyDocument({kept, elsewhere, shared});
  const auto& routes = FindService(pool_, work_service)->work_model.routes;
  EXPECT_EQ(routes.count(NameOf(kept)), 1U);
  EXPECT_EQ(routes.count(NameOf(shared)), 1U);
  EXPECT_EQ(routes.size(), 2U);
}

// Guards against a last slot that is never used again, since only requests that
// use it show that servers no longer slow down when they are nearly full.
TEST_F(WorkEstimateTest, LastSlotIsTriedAgain) {
  Apply({}, {BackendServerId("i2")});
  const auto record = [this](bool near_full, Duration latency) {
    AttemptResult result;
    result.end = AttemptResult::End::kAnswered;
    result.latency = latency;
    result.placement = {true, "route", 1, near_full, {}};
    ReleaseServer(pool_, BackendServerId("i1"), result, now_);
  };
  const auto free_slots = [this] {
    int slots = 0;
    while (!Choose().empty())
      ++slots;
    return slots;
  };
  for (int i = 0; i < 40; ++i) {
    record(false, milliseconds(60));
    record(true, milliseconds(102));
  }
  EXPECT_EQ(free_slots(), 2);
  // The servers are replaced by ones that do not slow down.
  for (int i = 0; i < 180; ++i) {
    now_ += seconds(1);
    record(false, milliseconds(60));
  }
  EXPECT_EQ(free_slots(), 3);
}

// Guards against a service that stays without servers long after a partition
// has healed, since the back-off of each has grown.
TEST_F(WorkEstimateTest, ServersThatAreAllUnreachableAreTriedSoon) {
  const auto try_once = [this](AttemptResult::End end) {
    const auto chosen = ChooseServer({});
    if (!chosen)
      return false;
    AttemptResult result;
    result.end = end;
    result.placement = chosen->placement;
    ReleaseServer(pool_, chosen->server, result, now_);
    return true;
  };
  int attempts = 0;
  for (int i = 0; i < 1750; ++i) {
    now_ += milliseconds(20);
    attempts += try_once(AttemptResult::End::kConnectFailed) ? 1 : 0;
  }
  // One attempt a second at each of the two servers.
  EXPECT_LE(attempts, 2 * 36);
  const TimePoint healed_at = now_;
  while (!try_once(AttemptResult::End::kAnswered))
    now_ += milliseconds(20);
  EXPECT_LE(now_ - healed_at, seconds(1));
}

// Guards against a route that is never served since its time-out is short
// compared to its target, from which the first estimate is derived.
TEST_F(WorkEstimateTest, FirstEstimateIsTried) {
  for (const auto& [target, timeout] :
       {std::pair{seconds(10), milliseconds(500)},
        std::pair{seconds(0), milliseconds(25)}}) {
    ServerRequirements requirements;
    requirements.route = "route of " + std::to_string(target.count());
    requirements.target = target;
    requirements.deadline = now_ + timeout;
    EXPECT_FALSE(Choose(requirements).empty()) << requirements.route;
  }
}

}  // namespace
}  // namespace mangodoor
