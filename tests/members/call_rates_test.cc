#include "process/fleet/call_rates.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const DataCentreId kHere("here");
const DataCentreId kThere("there");

class CallRatesTest : public testing::Test {
 protected:
  void Count(CallRates& rates, int per_tick, Duration duration) {
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(100))
      CountCalls(rates, total_ += per_tick, now_);
  }

  FleetHeartbeat MakeHeartbeat(const CallRates& rates, UsageScope scope) const {
    FleetHeartbeat heartbeat;
    heartbeat.scope = scope;
    heartbeat.covered = 1;
    heartbeat.calls_per_s = RateFor(rates, scope, now_);
    heartbeat.own_calls_per_s = rates.own_per_s;
    return heartbeat;
  }

  TimePoint now_{std::chrono::hours(1)};
  uint64_t total_ = 0;
};

// Guards against instances that plan for different request rates.
TEST_F(CallRatesTest, EveryInstanceKnowsTheFleetRate) {
  CallRates leader;
  CallRates member;
  CallRates remote_leader;
  Count(remote_leader, 10, seconds(20));
  Count(member, 20, seconds(20));
  Count(leader, 0, seconds(1));
  RecordPeerCalls(leader, InstanceId("m"), kHere, true,
                  MakeHeartbeat(member, UsageScope::kInstance), now_);
  RecordPeerCalls(leader, InstanceId("f"), kThere, false,
                  MakeHeartbeat(remote_leader, UsageScope::kDataCentre), now_);
  RecordPeerCalls(member, InstanceId("l"), kHere, true,
                  MakeHeartbeat(leader, UsageScope::kFleet), now_);
  EXPECT_NEAR(FleetCallsPerS(leader, now_), 300, 10);
  EXPECT_NEAR(FleetCallsPerS(member, now_), 300, 10);
}

// Guards against a burst that the rate shows only after it has ended.
TEST_F(CallRatesTest, RiseIsSeenWithinTwoSeconds) {
  CallRates rates;
  Count(rates, 10, seconds(20));
  Count(rates, 40, seconds(2));
  EXPECT_GT(FleetCallsPerS(rates, now_), 200);
}

// Guards against counting the rate of an instance that is gone.
TEST_F(CallRatesTest, ExpiredReportsAreIgnored) {
  CallRates leader;
  CallRates member;
  Count(member, 20, seconds(20));
  RecordPeerCalls(leader, InstanceId("m"), kHere, true,
                  MakeHeartbeat(member, UsageScope::kInstance), now_);
  now_ += seconds(5);
  EXPECT_EQ(FleetCallsPerS(leader, now_), 0);
}

}  // namespace
}  // namespace mangodoor
