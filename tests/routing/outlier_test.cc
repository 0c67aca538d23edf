#include "process/servers/outlier.h"

#include <gtest/gtest.h>

#include "process/servers/server_pool.h"
#include "routing/fleet_document.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};

// Guards against ejecting servers because requests queue on all of them: the
// quantiles are still those of light load, but the averages have risen.
TEST(OutlierTest, QueueingOnAllServersDoesNotEject) {
  ServiceLatency service{milliseconds(14), milliseconds(60), milliseconds(20)};
  EXPECT_TRUE(IsTooOld(milliseconds(200), service));
  service.median_of_means = milliseconds(100);
  EXPECT_FALSE(IsTooOld(milliseconds(200), service));
}

// Guards against trial requests to a slow server that never become rarer.
TEST(OutlierTest, BackOffGrowsWithEachEjectionInARow) {
  Ejection ejection;
  EXPECT_TRUE(Eject(ejection, EjectionReason::kOldRequest, kStart));
  EXPECT_FALSE(Eject(ejection, EjectionReason::kOldRequest, kStart));
  EXPECT_EQ(ejection.until, kStart + seconds(1));
  Eject(ejection, EjectionReason::kOldRequest, ejection.until);
  EXPECT_EQ(ejection.until, kStart + seconds(3));
  for (int i = 0; i < 20; ++i)
    Eject(ejection, EjectionReason::kOldRequest, ejection.until);
  const TimePoint last = ejection.until;
  Eject(ejection, EjectionReason::kOldRequest, last);
  EXPECT_EQ(ejection.until, last + seconds(30));
}

// Guards against two trial requests at once.
TEST(OutlierTest, OneTrialAtATime) {
  Ejection ejection;
  Eject(ejection, EjectionReason::kOldRequest, kStart);
  EXPECT_FALSE(MayRunTrial(ejection, 0, kStart));
  EXPECT_TRUE(MayRunTrial(ejection, 0, ejection.until));
  EXPECT_FALSE(MayRunTrial(ejection, 1, ejection.until));
}

// Guards against refusals for 10 s by instances whose data centre came back
// into service: their address was not listed in the previous version.
TEST(ConnectionShareTest, ReturningAddressKeepsOneConnection) {
  ServerPool pool;
  Document document = FleetDocument(1, 4);
  const auto apply = [&](bool in_service) {
    document.data_centres[1].in_service = in_service;
    ApplyVersion(pool, *ToVersion(document), EntryAddress(1), first_data_centre,
                 kStart);
    return ConnectionShare(pool, pool.servers.at(ServerName(0)), kStart);
  };
  EXPECT_EQ(apply(true), 55);
  EXPECT_EQ(apply(false), 1);
  EXPECT_EQ(apply(true), 1);
}

}  // namespace
}  // namespace mangodoor
