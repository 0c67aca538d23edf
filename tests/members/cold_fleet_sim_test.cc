#include "members/cold_fleet_sim.h"

#include <gtest/gtest.h>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const DataCentreId first_data_centre("dc0");

/** The instances of the data centre of the cold server: 0 to 23. */
constexpr int kLargeInstances = 2;
constexpr int kInstances = 24;
constexpr int kLargeMillicores = 500;
constexpr int kSmallMillicores = 100;

/** The instances of the other data centre: 24 to 27. */
constexpr int kOtherInstances = 4;
constexpr int kOtherMillicores = 250;

// With these rates, six of the 24 instances are advertised.
constexpr double kRequestsPerS = 700;
constexpr double kOtherRequestsPerS = 200;

constexpr Duration kSettleTime = seconds(20);
constexpr Duration kColdPhase = seconds(20);

std::vector<SimDataCentre> TwoDataCentres() {
  SimDataCentre first;
  first.millicores.assign(kInstances, kSmallMillicores);
  std::fill_n(first.millicores.begin(), kLargeInstances, kLargeMillicores);
  SimDataCentre second;
  second.millicores.assign(kOtherInstances, kOtherMillicores);
  return {first, second};
}

class ColdFleetSimTest : public testing::Test {
 protected:
  ColdFleetSimTest()
      : sim_(TwoDataCentres(), {kRequestsPerS, kOtherRequestsPerS}, 2, 1),
        server_(sim_.AddServer(first_data_centre)),
        start_(sim_.now()) {}

  void StartAll() {
    for (int i = 0; i < sim_.fleet().size(); ++i)
      sim_.Start(i);
    sim_.RunFor(kSettleTime);
  }

  void TurnCold() { sim_.TurnCold(server_, kColdPhase); }

  /** Kills the instances from `first` to `last` and starts them again. */
  void Restart(int first, int last) {
    for (int i = first; i <= last; ++i)
      sim_.Kill(i);
    sim_.RunFor(milliseconds(300));
    for (int i = first; i <= last; ++i)
      sim_.Start(i);
  }

  void ExpectWithinBound() const {
    EXPECT_LE(static_cast<double>(sim_.busiest_second().requests),
              kMaxColdRequestsPerSecond)
        << Describe(sim_.busiest_second(), start_);
  }

  ColdFleetSim sim_;
  int server_;
  TimePoint start_;
};

// Guards against a cold server that is flooded or unused while no instance
// fails.
TEST_F(ColdFleetSimTest, SettledFleetUsesAColdServer) {
  StartAll();
  TurnCold();
  sim_.RunFor(kColdPhase);
  ExpectWithinBound();
  EXPECT_GE(static_cast<double>(sim_.ColdRequestsOf(server_)),
            0.5 * kColdRatePerS * Seconds(kColdPhase));
}

// Guards against restarted instances that each know only themselves.
TEST_F(ColdFleetSimTest, AllInstancesRestartAtOnce) {
  StartAll();
  TurnCold();
  sim_.RunFor(seconds(2));
  Restart(0, kInstances - 1);
  sim_.RunFor(kColdPhase);
  ExpectWithinBound();
}

// Guards against instances that use the whole rate once all peers are silent.
TEST_F(ColdFleetSimTest, InstancesCutOffOneByOne) {
  StartAll();
  for (int i = 0; i < kInstances; ++i) {
    sim_.fleet().SetIsolated(i, true);
    if (!sim_.IsServerCold(server_))
      TurnCold();
    sim_.RunFor(seconds(1));
  }
  for (Duration cut{}; cut < seconds(30); cut += seconds(1)) {
    if (!sim_.IsServerCold(server_))
      TurnCold();
    sim_.RunFor(seconds(1));
  }
  ExpectWithinBound();
}

// Guards against restarted instances of another data centre that know no
// instance of the cold server's data centre.
TEST_F(ColdFleetSimTest, InstancesOfTheOtherDataCentreRestartAtOnce) {
  StartAll();
  TurnCold();
  sim_.RunFor(seconds(2));
  Restart(kInstances, kInstances + kOtherInstances - 1);
  sim_.RunFor(kColdPhase);
  ExpectWithinBound();
}

}  // namespace
}  // namespace mangodoor
