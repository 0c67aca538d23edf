#include "process/fleet/request_rates.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const DataCentreId local_data_centre("here");
const DataCentreId remote_data_centre("there");

class RequestRatesTest : public testing::Test {
 protected:
  void Count(RequestRates& rates, int per_tick, Duration duration) {
    const TimePoint end = now_ + duration;
    for (; now_ < end; now_ += milliseconds(100))
      CountRequests(rates, total_ += per_tick, now_);
  }

  FleetHeartbeat MakeHeartbeat(const RequestRates& rates,
                               UsageScope scope) const {
    FleetHeartbeat heartbeat;
    heartbeat.scope = scope;
    heartbeat.covered = 1;
    heartbeat.requests_per_s = RateFor(rates, scope, now_);
    heartbeat.own_requests_per_s = rates.own_per_s;
    return heartbeat;
  }

  TimePoint now_{std::chrono::hours(1)};
  uint64_t total_ = 0;
};

// Guards against instances that plan for different request rates.
TEST_F(RequestRatesTest, EveryInstanceKnowsTheFleetRate) {
  RequestRates leader;
  RequestRates member;
  RequestRates remote_leader;
  Count(remote_leader, 10, seconds(20));
  Count(member, 20, seconds(20));
  Count(leader, 0, seconds(1));
  RecordPeerRequestRates(leader, InstanceId("m"), local_data_centre, true,
                         MakeHeartbeat(member, UsageScope::kInstance), now_);
  RecordPeerRequestRates(leader, InstanceId("f"), remote_data_centre, false,
                         MakeHeartbeat(remote_leader, UsageScope::kDataCentre),
                         now_);
  RecordPeerRequestRates(member, InstanceId("l"), local_data_centre, true,
                         MakeHeartbeat(leader, UsageScope::kFleet), now_);
  EXPECT_NEAR(FleetRequestsPerS(leader, now_), 300, 10);
  EXPECT_NEAR(FleetRequestsPerS(member, now_), 300, 10);
}

// Guards against a burst that the rate shows only after it has ended.
TEST_F(RequestRatesTest, RiseIsSeenWithinTwoSeconds) {
  RequestRates rates;
  Count(rates, 10, seconds(20));
  Count(rates, 40, seconds(2));
  EXPECT_GT(FleetRequestsPerS(rates, now_), 200);
}

// Guards against counting the rate of an instance that is gone.
TEST_F(RequestRatesTest, ExpiredReportsAreIgnored) {
  RequestRates leader;
  RequestRates member;
  Count(member, 20, seconds(20));
  RecordPeerRequestRates(leader, InstanceId("m"), local_data_centre, true,
                         MakeHeartbeat(member, UsageScope::kInstance), now_);
  now_ += seconds(5);
  EXPECT_EQ(FleetRequestsPerS(leader, now_), 0);
}

}  // namespace
}  // namespace mangodoor
