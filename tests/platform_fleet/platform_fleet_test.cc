#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <signal.h>

#include "fleet/harness/test_fleet.h"
#include "platform_fleet/platform_fleet.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::HasSubstr;
using ::testing::IsEmpty;

constexpr seconds kStart(5);

// The users' bounds.
constexpr milliseconds kInForce(2000);
constexpr milliseconds kEvacuated(5000);
constexpr milliseconds kRevoke(5000);
constexpr seconds kGrace(6);
constexpr seconds kRecovery(15);

// Guards against a path that does not serve from end to end, a key that
// reaches a server, and a request that runs for another account.
TEST(PlatformFleetTest, ServesThroughTheDirectory) {
  PlatformFleet fleet({});
  ASSERT_TRUE(fleet.WaitUntilReady(kStart));
  PlatformCallers callers(fleet, 8, "GET");
  std::this_thread::sleep_for(seconds(3));
  const LoadCounts counts = callers.Stop();
  EXPECT_GT(counts.answered, 100);
  EXPECT_THAT(counts.failures, IsEmpty());
  EXPECT_THAT(counts.crossed, IsEmpty());
  int tenant_runs = 0;
  for (int i = 0; i < fleet.servers(); ++i) {
    const auto counters = fleet.ServerCounters(i);
    EXPECT_EQ(counters["keys_seen"], 0);
    EXPECT_EQ(counters["misdirected"], 0);
    for (const auto& [tenant, runs] : counters["runs_of_tenant"].items()) {
      EXPECT_EQ(tenant, "tenant");
      tenant_runs += runs.get<int>();
    }
  }
  EXPECT_GE(tenant_runs, counts.answered);
  // Routes, keys and caps are checked on the way.
  EXPECT_EQ(fleet.Call(fleet.caller(0), "x", "GET", "/none/x").status, 404);
  EXPECT_EQ(CallOnce(fleet.caller(0), {"GET",
                                       "/work/x",
                                       {{"Host", PlatformFleet::kHost},
                                        {"X-Request-Id", "y"},
                                        {"Authorization", "Token wrong"}},
                                       ""})
                .status,
            401);
}

// Guards against a status that hides what an instance believes of its fleet,
// or that calls a serving instance not ready.
TEST(PlatformFleetTest, StatusShowsMembersReadersAndAccounts) {
  PlatformFleet fleet({});
  ASSERT_TRUE(fleet.WaitUntilReady(kStart));
  ASSERT_EQ(fleet.Call(fleet.caller(0), "a").status, 200);
  ASSERT_TRUE(WaitFor(
      [&] {
        const InstanceStatus status = fleet.StatusOf(0);
        return status.fleet && status.fleet->members.size() == 3 &&
               status.fleet->store_age;
      },
      kStart));
  // Each reads at its start; then one goes on in each data centre.
  const auto readers = [&fleet] {
    int count = 0;
    for (int i = 0; i < fleet.instances(); ++i)
      count += fleet.StatusOf(i).fleet->reads_store ? 1 : 0;
    return count;
  };
  EXPECT_TRUE(WaitFor([&] { return readers() == 2; }, kStart)) << readers();
  for (int i = 0; i < fleet.instances(); ++i) {
    const InstanceStatus status = fleet.StatusOf(i);
    EXPECT_TRUE(status.readiness.ready) << status.readiness.reason;
    ASSERT_EQ(status.accounts.size(), 1U);
    EXPECT_GT(status.accounts[0].rate_per_s, 0);
    EXPECT_FALSE(status.servers.empty());
  }
  const uint64_t admitted = fleet.StatusOf(0).accounts[0].admitted;
  ASSERT_EQ(fleet.Call(fleet.caller(0), "b").status, 200);
  EXPECT_EQ(fleet.StatusOf(0).accounts[0].admitted, admitted + 1);
  fleet.KillInstance(3);
  EXPECT_TRUE(WaitFor(
      [&] {
        const std::vector<MemberStatus> members =
            fleet.StatusOf(0).fleet->members;
        return std::any_of(members.begin(), members.end(),
                           [](const MemberStatus& status) {
                             return status.member.state == MemberState::kGone;
                           });
      },
      kStart));
}

// Guards against an installation that is to refuse keys when it may be behind,
// and refuses all of them although its copy of the store is current.
TEST(PlatformFleetTest, FailClosedServesWhileTheCopyIsCurrent) {
  PlatformPlan plan;
  plan.fail_closed = true;
  plan.relays = true;
  PlatformFleet fleet(plan);
  ASSERT_TRUE(fleet.WaitUntilReady(kStart));
  // Longer than a copy may be old, so that it has to be confirmed again.
  const auto end = std::chrono::steady_clock::now() + 2 * kRevoke;
  for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
    ASSERT_EQ(fleet.Call(fleet.caller(i % fleet.instances()), "a").status, 200)
        << i;
    std::this_thread::sleep_for(milliseconds(50));
  }
  for (int i = 0; i < fleet.instances(); ++i)
    fleet.store_relay(i).Cut();
  const auto refused = [&fleet] {
    return fleet.Call(fleet.caller(0), "b").status == 503;
  };
  EXPECT_TRUE(WaitFor(refused, kRevoke));
  for (int i = 0; i < fleet.instances(); ++i)
    fleet.store_relay(i).Heal();
  EXPECT_TRUE(WaitFor([&] { return !refused(); }, kRevoke));
}

// Guards against a process that a changed settings file ends, and against
// faulty settings that replace good ones.
TEST(PlatformFleetTest, ChangedSettingsKeepServing) {
  PlatformFleet fleet({2, 1, 2, 5});
  ASSERT_TRUE(fleet.WaitUntilReady(kStart));
  fleet.WriteSettings(0, {{"Bounds", {{"GraceS", 4}}}});
  fleet.instance(0).Signal(SIGHUP);
  ASSERT_TRUE(WaitFor(
      [&] {
        return fleet.LogOf(0).find("settings_reloaded") != std::string::npos;
      },
      kStart));
  EXPECT_EQ(fleet.Call(fleet.caller(0), "a").status, 200);
  fleet.WriteSettingsText(0, "{\"id\": 3}");
  fleet.instance(0).Signal(SIGHUP);
  ASSERT_TRUE(WaitFor(
      [&] {
        return fleet.LogOf(0).find("settings_rejected") != std::string::npos;
      },
      kStart));
  EXPECT_THAT(fleet.LogOf(0),
              HasSubstr("/data_centre: no value; allowed: a text"));
  EXPECT_EQ(fleet.Call(fleet.caller(0), "b").status, 200);
  fleet.instance(0).Signal(SIGTERM);
  EXPECT_EQ(fleet.instance(0).WaitForExit(kGrace), 0);
}

// Guards against a planned stop that cuts a request or runs one twice.
TEST(PlatformFleetTest, PlannedStopCutsNothing) {
  PlatformFleet fleet({});
  ASSERT_TRUE(fleet.WaitUntilReady(kStart));
  PlatformCallers callers(fleet, 8, "POST");
  std::this_thread::sleep_for(seconds(1));
  for (const int stopped : {1, 2}) {
    fleet.instance(stopped).Signal(SIGTERM);
    EXPECT_EQ(fleet.instance(stopped).WaitForExit(kGrace), 0);
    fleet.StartInstance(stopped);
    std::this_thread::sleep_for(seconds(1));
  }
  const LoadCounts counts = callers.Stop();
  EXPECT_GT(counts.answered, 100);
  EXPECT_THAT(counts.failures, IsEmpty());
  const std::map<std::string, int> all_runs = fleet.Runs();
  for (const auto& [id, runs] : all_runs) {
    if (id != "ready") {
      EXPECT_EQ(runs, 1) << id;
    }
  }
  for (const std::string& id : counts.crossed)
    EXPECT_EQ(all_runs.count(id), 0U) << id << " ran, but has no answer";
}

// Guards against a fleet that does not come back after all of it was killed.
TEST(PlatformFleetTest, KilledFleetComesBack) {
  PlatformFleet fleet({});
  ASSERT_TRUE(fleet.WaitUntilReady(kStart));
  for (int i = 0; i < fleet.instances(); ++i)
    fleet.KillInstance(i);
  for (int i = 0; i < fleet.instances(); ++i)
    fleet.StartInstance(i);
  EXPECT_TRUE(fleet.WaitUntilReady(kRecovery));
}

// Guards against versions, keys and orders that are not in force in time.
TEST(PlatformFleetTest, ChangesAreInForceInTime) {
  PlatformFleet fleet({});
  ASSERT_TRUE(fleet.WaitUntilReady(kStart));
  fleet.extra_prefix = "/new/";
  fleet.Publish();
  std::this_thread::sleep_for(kInForce);
  for (int i = 0; i < fleet.instances(); ++i)
    EXPECT_EQ(fleet.Call(fleet.caller(i), "n", "GET", "/new/x").status, 200);
  fleet.key_withdrawn = true;
  fleet.Publish();
  std::this_thread::sleep_for(kInForce);
  for (int i = 0; i < fleet.instances(); ++i)
    EXPECT_EQ(fleet.Call(fleet.caller(i), "k").status, 401);
  fleet.key_withdrawn = false;
  fleet.Publish();
  fleet.Evacuate(0, true);
  std::this_thread::sleep_for(kEvacuated);
  const auto runs_in_zone = [&fleet] {
    int runs = 0;
    for (int i = 0; i < fleet.servers(); ++i) {
      if (fleet.zone_of_server(i) == 0)
        runs += static_cast<int>(fleet.ServerCounters(i)["runs"].size());
    }
    return runs;
  };
  const int before = runs_in_zone();
  for (int i = 0; i < 40; ++i) {
    EXPECT_EQ(
        fleet.Call(fleet.caller(i % fleet.instances()), "e" + std::to_string(i))
            .status,
        200);
  }
  EXPECT_EQ(runs_in_zone(), before);
}

// Guards against a server that is gone from the store, or says that it leaves,
// and still gets work.
TEST(PlatformFleetTest, LeavingServersGetNoNewWork) {
  PlatformFleet fleet({4, 2, 2, 5});
  ASSERT_TRUE(fleet.WaitUntilReady(kStart));
  PlatformCallers callers(fleet, 8, "GET");
  std::this_thread::sleep_for(seconds(1));
  // It serves for two more seconds, as the platform's servers do.
  fleet.server(1).Signal(SIGTERM);
  EXPECT_EQ(fleet.server(1).WaitForExit(seconds(4)), 0);
  std::this_thread::sleep_for(seconds(1));
  const LoadCounts counts = callers.Stop();
  EXPECT_GT(counts.answered, 100);
  EXPECT_THAT(counts.failures, IsEmpty());
}

// Guards against an outage of the store that stops what is in force, or
// against changes of that time that are lost.
TEST(PlatformFleetTest, StoreOutageLosesNothing) {
  for (const char* mode : {"busy", "silent"}) {
    SCOPED_TRACE(mode);
    PlatformFleet fleet({4, 2, 2, 5});
    ASSERT_TRUE(fleet.WaitUntilReady(kStart));
    PlatformCallers callers(fleet, 4, "GET");
    fleet.SetStoreMode(mode);
    std::this_thread::sleep_for(seconds(2));
    fleet.extra_prefix = "/new/";
    fleet.Publish();
    fleet.CompactStore();
    std::this_thread::sleep_for(seconds(1));
    fleet.SetStoreMode("serves");
    const LoadCounts counts = callers.Stop();
    EXPECT_THAT(counts.failures, IsEmpty());
    EXPECT_TRUE(WaitFor(
        [&fleet] {
          for (int i = 0; i < fleet.instances(); ++i) {
            if (fleet.Call(fleet.caller(i), "n", "GET", "/new/x").status != 200)
              return false;
          }
          return true;
        },
        seconds(5)));
  }
}

}  // namespace
}  // namespace mangodoor
