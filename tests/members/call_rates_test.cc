#include "process/fleet/call_rates.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const DataCentreId here("here");
const DataCentreId there("there");

class CallRatesTest : public testing::Test {
 protected:
  void Count(CallRates& rates, int per_tick, Duration duration) {
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(100))
      CountCalls(rates, total_ += per_tick, now_);
  }

  MemberBeat Beat(const CallRates& rates, UsageScope scope) const {
    MemberBeat beat;
    beat.scope = scope;
    beat.covered = 1;
    beat.calls_per_s = RateFor(rates, scope, now_);
    beat.own_calls_per_s = rates.own_per_s;
    return beat;
  }

  TimePoint now_{std::chrono::hours(1)};
  uint64_t total_ = 0;
};

// Guards against instances that plan for other numbers of calls.
TEST_F(CallRatesTest, EveryInstanceLearnsTheTotal) {
  CallRates lead;
  CallRates member;
  CallRates far_lead;
  Count(far_lead, 10, seconds(20));
  Count(member, 20, seconds(20));
  Count(lead, 0, seconds(1));
  HearCalls(lead, InstanceId("m"), here, true,
            Beat(member, UsageScope::kInstance), now_);
  HearCalls(lead, InstanceId("f"), there, false,
            Beat(far_lead, UsageScope::kDataCentre), now_);
  HearCalls(member, InstanceId("l"), here, true, Beat(lead, UsageScope::kFleet),
            now_);
  EXPECT_NEAR(FleetCallsPerS(lead, now_), 300, 10);
  EXPECT_NEAR(FleetCallsPerS(member, now_), 300, 10);
}

// Guards against a burst that is seen only when it is over.
TEST_F(CallRatesTest, RiseIsSeenWithinTwoSeconds) {
  CallRates rates;
  Count(rates, 10, seconds(20));
  Count(rates, 40, seconds(2));
  EXPECT_GT(FleetCallsPerS(rates, now_), 200);
}

// Guards against calls of an instance that is gone.
TEST_F(CallRatesTest, OldStatementsDoNotCount) {
  CallRates lead;
  CallRates member;
  Count(member, 20, seconds(20));
  HearCalls(lead, InstanceId("m"), here, true,
            Beat(member, UsageScope::kInstance), now_);
  now_ += seconds(5);
  EXPECT_EQ(FleetCallsPerS(lead, now_), 0);
}

}  // namespace
}  // namespace mangodoor
