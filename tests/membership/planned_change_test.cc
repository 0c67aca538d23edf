#include "version/planned_change.h"

#include <gtest/gtest.h>

#include "process/fake_clock.h"
#include "process/versions/version_table.h"

namespace mangodoor {
namespace {

using std::chrono::hours;
using std::chrono::minutes;

class PlannedChangeTest : public testing::Test {
 protected:
  PlannedChangeTest() {
    document_.version = 5;
    document_.data_centres = {{DataCentreId("a"), "", true, {{"10.0.0.1", 1}}}};
    Service service;
    service.servers.resize(1);
    service.servers[0].id = BackendServerId("s");
    document_.services = {service};
    document_.keys = {{"k", ClientAccountId("x")}};
    document_.planned_changes = {
        {start_ + hours(2), ChangeKind::kDataCentreIn, "a"},
        {start_ + hours(1), ChangeKind::kDataCentreOut, "a"},
        {start_ + hours(1), ChangeKind::kKeyWithdraw, "k"},
        {start_ + hours(3), ChangeKind::kServerDrain, "s"}};
  }

  bool InService() const {
    return VersionInForce(table_)->document.data_centres[0].in_service;
  }

  FakeClock clock_;
  WallTime start_ = clock_.WallNow();
  Document document_;
  VersionTable table_;
};

// Guards against a change that is early or late, or that needs a new version.
TEST_F(PlannedChangeTest, ComesIntoForceAtItsTime) {
  AdoptVersionIfNewer(table_, MakeVersion(document_, "d", ""), start_);
  EXPECT_TRUE(InService());
  EXPECT_EQ(NextPlannedChange(table_), start_ + hours(1));
  EXPECT_EQ(RefreshPlannedChanges(table_, start_ + minutes(59)), nullptr);
  ASSERT_NE(RefreshPlannedChanges(table_, start_ + hours(1)), nullptr);
  EXPECT_FALSE(InService());
  EXPECT_TRUE(VersionInForce(table_)->keys_by_digest.empty());
  EXPECT_TRUE(VersionInForce(table_)->entry_addresses.empty());
  EXPECT_EQ(VersionInForce(table_)->document.version, 5u);
  EXPECT_EQ(VersionInForce(table_)->digest, "d");
  EXPECT_EQ(NextPlannedChange(table_), start_ + hours(2));
}

// Guards against changes that are applied in document order instead of by time.
TEST_F(PlannedChangeTest, LaterChangeWins) {
  AdoptVersionIfNewer(table_, MakeVersion(document_, "d", ""),
                      start_ + hours(4));
  EXPECT_TRUE(InService());
  const Version& version = *VersionInForce(table_);
  EXPECT_EQ(version.document.services[0].servers[0].mode,
            ServerMode::kDraining);
  EXPECT_EQ(NextPlannedChange(table_), std::nullopt);
}

// Guards against a withdrawn key that is valid again when a clock is set back.
TEST_F(PlannedChangeTest, ClockSetBackUndoesNothing) {
  AdoptVersionIfNewer(table_, MakeVersion(document_, "d", ""),
                      start_ + hours(1));
  EXPECT_FALSE(InService());
  EXPECT_EQ(RefreshPlannedChanges(table_, start_), nullptr);
  EXPECT_FALSE(InService());
  document_.version = 6;
  AdoptVersionIfNewer(table_, MakeVersion(document_, "e", ""), start_);
  EXPECT_FALSE(InService());
  EXPECT_TRUE(VersionInForce(table_)->keys_by_digest.empty());
}

// Guards against a lower version that comes into force, and against two
// documents with the same version number.
TEST_F(PlannedChangeTest, LowerAndConflictingVersionsAreRejected) {
  AdoptVersionIfNewer(table_, MakeVersion(document_, "d", ""), start_);
  EXPECT_EQ(
      AdoptVersionIfNewer(table_, MakeVersion(document_, "d", ""), start_),
      ApplyOutcome::kSameVersion);
  EXPECT_EQ(
      AdoptVersionIfNewer(table_, MakeVersion(document_, "x", ""), start_),
      ApplyOutcome::kConflict);
  EXPECT_TRUE(IsRejected(table_, 5, "x"));
  document_.version = 4;
  EXPECT_EQ(
      AdoptVersionIfNewer(table_, MakeVersion(document_, "o", ""), start_),
      ApplyOutcome::kOlderVersion);
  EXPECT_EQ(VersionInForce(table_)->digest, "d");
}

}  // namespace
}  // namespace mangodoor
