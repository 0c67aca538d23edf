#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <numeric>

#include "fleet/harness/test_fleet.h"
#include "platform_fleet/direct_callers.h"
#include "platform_fleet/platform_fleet.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kStartLimit(30);

// The users' rule: a cold server may get kColdRatePerS * kColdOverage +
// kColdSlack requests in any second, summed over all instances.
constexpr double kColdRatePerS = 3.2;
constexpr double kColdOverage = 1.5;
constexpr double kColdSlack = 8;

// The users' time limit for a new configuration, which also comes from the
// store. What arrives before can come from an instance that has not been told
// that the server is cold.
constexpr milliseconds kTellLimit(2000);

constexpr seconds kSettleTime(1);
constexpr seconds kColdTime(10);
constexpr int kCallersPerInstance = 2;
constexpr int kManyCallers = 8;
constexpr int kServer = 0;

PlatformPlan LargeDataCentre() {
  PlatformPlan plan;
  plan.instances = 24;
  plan.zones = 1;
  plan.servers_per_zone = 1;
  plan.work_ms = 5;
  plan.cold_rate_per_s = kColdRatePerS;
  return plan;
}

/** The arrivals after all instances must know that the server is cold. */
std::vector<ColdArrival> ToldArrivals(const PlatformFleet& fleet) {
  std::vector<ColdArrival> arrivals = fleet.ColdArrivals(kServer);
  arrivals.erase(std::remove_if(arrivals.begin(), arrivals.end(),
                                [](const ColdArrival& arrival) {
                                  return arrival.cold_for < kTellLimit;
                                }),
                 arrivals.end());
  return arrivals;
}

std::string Describe(const std::vector<ColdArrival>& arrivals) {
  if (arrivals.empty())
    return "no requests";
  std::map<int, int> by_instance;
  for (const ColdArrival& arrival : arrivals)
    ++by_instance[DirectCallers::InstanceOf(arrival.request_id)];
  std::string text = std::to_string(arrivals.size()) + " requests from " +
                     std::to_string(by_instance.size()) + " instances, " +
                     std::to_string(Seconds(arrivals.front().cold_for)) +
                     " s after the server became cold;";
  for (const auto& [instance, count] : by_instance)
    text += " " + std::to_string(instance) + ":" + std::to_string(count);
  return text;
}

/** Checks the users' rule, and that the server is used while it is cold. */
void CheckColdServer(const PlatformFleet& fleet) {
  const std::vector<ColdArrival> arrivals = ToldArrivals(fleet);
  const std::vector<ColdArrival> busiest = BusiestSecond(arrivals);
  ::testing::Test::RecordProperty("busiest_second", Describe(busiest));
  ::testing::Test::RecordProperty("all", Describe(arrivals));
  EXPECT_LE(static_cast<double>(busiest.size()),
            kColdRatePerS * kColdOverage + kColdSlack)
      << Describe(busiest);
  EXPECT_FALSE(arrivals.empty());
}

class ColdServerTest : public ::testing::Test {
 protected:
  void StartFleet(const PlatformPlan& plan) {
    fleet_ = std::make_unique<PlatformFleet>(plan);
    ASSERT_TRUE(fleet_->WaitUntilReady(kStartLimit));
  }

  void StartCallers(const std::vector<int>& instances,
                    int callers_per_instance) {
    callers_ = std::make_unique<DirectCallers>(*fleet_, instances,
                                               callers_per_instance);
    std::this_thread::sleep_for(kSettleTime);
    ASSERT_GT(callers_->answered(), 0);
  }

  /** Starts a fleet whose instances all get requests all the time. */
  void StartBusyFleet(const PlatformPlan& plan) {
    ASSERT_NO_FATAL_FAILURE(StartFleet(plan));
    StartCallers(AllInstances(), kCallersPerInstance);
  }

  void TurnCold() {
    ASSERT_TRUE(fleet_->SetServerCold(kServer, kColdTime));
    std::this_thread::sleep_for(kTellLimit);
  }

  void WaitUntilWarm() { std::this_thread::sleep_for(kColdTime - kTellLimit); }

  void RestartInstances(int count) {
    for (int i = 0; i < count; ++i)
      fleet_->KillInstance(i);
    for (int i = 0; i < count; ++i)
      fleet_->StartInstance(i);
  }

  std::vector<int> AllInstances() const {
    std::vector<int> instances(static_cast<size_t>(fleet_->instances()));
    std::iota(instances.begin(), instances.end(), 0);
    return instances;
  }

  std::unique_ptr<PlatformFleet> fleet_;
  std::unique_ptr<DirectCallers> callers_;
};

// Guards against a fleet that floods a cold server because each instance, just
// started, does not know the others yet and takes the whole rate.
TEST_F(ColdServerTest, IsNotFloodedByARestartOfAllInstances) {
  ASSERT_NO_FATAL_FAILURE(StartBusyFleet(LargeDataCentre()));
  ASSERT_NO_FATAL_FAILURE(TurnCold());
  RestartInstances(fleet_->instances());
  WaitUntilWarm();
  CheckColdServer(*fleet_);
}

// Guards against the same where the other half of the instances runs on.
TEST_F(ColdServerTest, IsNotFloodedByARestartOfHalfTheInstances) {
  ASSERT_NO_FATAL_FAILURE(StartBusyFleet(LargeDataCentre()));
  ASSERT_NO_FATAL_FAILURE(TurnCold());
  RestartInstances(fleet_->instances() / 2);
  WaitUntilWarm();
  CheckColdServer(*fleet_);
}

// Guards against a steady fleet that floods, or no longer uses, a server that
// becomes cold again.
TEST_F(ColdServerTest, IsNotFloodedByASteadyFleet) {
  ASSERT_NO_FATAL_FAILURE(StartBusyFleet(LargeDataCentre()));
  ASSERT_NO_FATAL_FAILURE(TurnCold());
  WaitUntilWarm();
  CheckColdServer(*fleet_);
}

// Guards against a steady fleet that floods a server that has restarted, and is
// cold from its start, under the id that it had.
TEST_F(ColdServerTest, IsNotFloodedAfterItsOwnRestart) {
  PlatformPlan plan = LargeDataCentre();
  plan.cold_time = kColdTime;
  ASSERT_NO_FATAL_FAILURE(StartBusyFleet(plan));
  std::this_thread::sleep_for(kColdTime);
  fleet_->KillServer(kServer);
  fleet_->StartServer(kServer);
  std::this_thread::sleep_for(kColdTime);
  CheckColdServer(*fleet_);
}

// Guards against a steady fleet that floods, or no longer uses, a server that
// only probes report as cold, because the store is down.
TEST_F(ColdServerTest, IsNotFloodedWhenOnlyProbesReportIt) {
  ASSERT_NO_FATAL_FAILURE(StartBusyFleet(LargeDataCentre()));
  fleet_->SetStoreMode("busy");
  ASSERT_NO_FATAL_FAILURE(TurnCold());
  WaitUntilWarm();
  CheckColdServer(*fleet_);
}

// Guards against an instance that does not probe a server, and so floods it,
// because all of its slots have this instance's requests, whose responses
// report its load, but not that it is cold. The store, which would tell it, is
// down.
TEST_F(ColdServerTest, IsNotFloodedByAnInstanceWithManyCallers) {
  PlatformPlan plan = LargeDataCentre();
  plan.instances = 1;
  plan.server_slots = 1;
  plan.work_ms = 50;
  ASSERT_NO_FATAL_FAILURE(StartFleet(plan));
  ASSERT_NO_FATAL_FAILURE(StartCallers(AllInstances(), kManyCallers));
  fleet_->SetStoreMode("busy");
  ASSERT_NO_FATAL_FAILURE(TurnCold());
  WaitUntilWarm();
  CheckColdServer(*fleet_);
}

// Guards against instances that take a server for warm that probes have found
// cold, because a record of the time before reaches them later.
TEST_F(ColdServerTest, IsNotFloodedWhenAnOlderRecordComesLate) {
  PlatformPlan plan = LargeDataCentre();
  plan.server_heartbeat = 2 * kColdTime;
  ASSERT_NO_FATAL_FAILURE(StartBusyFleet(plan));
  const std::string key = "servers/" + PlatformFleet::ServerId(kServer);
  nlohmann::json record = nlohmann::json::parse(fleet_->ItemValue(key));
  record["Details"]["Version"] = "v2";
  ASSERT_NO_FATAL_FAILURE(TurnCold());
  fleet_->PutItem(key, record.dump());
  WaitUntilWarm();
  CheckColdServer(*fleet_);
}

}  // namespace
}  // namespace mangodoor
