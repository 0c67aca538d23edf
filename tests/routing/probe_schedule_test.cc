#include "process/servers/probe_schedule.h"

#include <gtest/gtest.h>

#include "process/servers/server_pool.h"
#include "routing/fleet_document.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Guards against a burst of probes when many processes start at once.
TEST(ProbeScheduleTest, FirstProbeAfterFullInterval) {
  ProbeSchedule schedule;
  SetProber(schedule, true, 1.0, true, kStart);
  EXPECT_FALSE(TakeProbe(schedule, kStart + milliseconds(1999)));
  EXPECT_TRUE(TakeProbe(schedule, kStart + seconds(2)));
}

// Guards against a burst of probes that makes up for a pause.
TEST(ProbeScheduleTest, LateWakeUpDoesNotCatchUp) {
  ProbeSchedule schedule;
  SetProber(schedule, true, 1.0, true, kStart);
  const TimePoint late = kStart + milliseconds(9500);
  EXPECT_TRUE(TakeProbe(schedule, late));
  EXPECT_FALSE(TakeProbe(schedule, late + milliseconds(600)));
  EXPECT_TRUE(TakeProbe(schedule, late + seconds(2)));
}

// Guards against a division by a budget of zero.
TEST(ProbeScheduleTest, NoBudgetMeansNoProbes) {
  ProbeSchedule schedule;
  SetProber(schedule, true, 0.0, true, kStart);
  EXPECT_FALSE(TakeProbe(schedule, kStart + std::chrono::hours(1000)));
}

// Guards against a fleet in which every instance probes every server.
TEST(ProbeScheduleTest, TwoInstancesProbeEachServer) {
  const VersionPtr version = ToVersion(FleetDocument(6, 9));
  std::vector<int> probers(6);
  for (int i = 0; i < 9; ++i) {
    ServerPool pool;
    ApplyVersion(pool, *version, EntryAddress(i), first_data_centre, kStart);
    for (const ChosenServer& probe :
         TickServers(pool, kStart + seconds(2)).probes)
      ++probers[std::stoi(probe.server.value().substr(1))];
  }
  EXPECT_EQ(probers, std::vector<int>(6, 2));
}

// Guards against probes of the old and the new prober at the same time.
TEST(ProbeScheduleTest, NewProberWaitsForVersionToPropagate) {
  ProbeSchedule schedule;
  SetProber(schedule, false, 1.0, true, kStart);
  SetProber(schedule, true, 1.0, false, kStart);
  EXPECT_FALSE(TakeProbe(schedule, kStart + seconds(9)));
  EXPECT_TRUE(TakeProbe(schedule, kStart + seconds(10)));
}

}  // namespace
}  // namespace mangodoor
