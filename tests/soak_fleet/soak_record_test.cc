#include "soak_fleet/soak_record.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "soak_fleet/soak_plan.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using ::testing::Each;
using ::testing::ElementsAre;
using ::testing::HasSubstr;
using ::testing::IsEmpty;
using ::testing::Not;

// Guards against checks that cannot fail: each test records a violation that
// has to be found.
class SoakRecordTest : public testing::Test {
 protected:
  static TimePoint At(milliseconds offset) {
    return TimePoint(std::chrono::hours(1)) + offset;
  }

  ObservedRequest& AddRequest(int status, bool idempotent) {
    ObservedRequest request;
    request.id = "c";
    request.path = "/order/c";
    request.idempotent = idempotent;
    request.status = status;
    request.body = status == 200 ? "i-1 /order/c" : "";
    request.sent_at = At(seconds(6));
    request.ended_at = At(milliseconds(6020));
    record_.requests.push_back(request);
    return record_.requests.back();
  }

  void AddVersionCheck(milliseconds sent_at,
                       bool in_force,
                       int incarnation = 0) {
    record_.version_checks.push_back({0, incarnation, 7, At(sent_at),
                                      At(sent_at + milliseconds(5)), in_force});
  }

  SoakRecord record_;
};

TEST_F(SoakRecordTest, CorrectRunHasNoViolation) {
  AddRequest(200, false);
  record_.runs.insert({"c", {0, 1}});
  record_.published = {{7, At(seconds(0))}};
  AddVersionCheck(milliseconds(1900), false);
  AddVersionCheck(seconds(3), true);
  EXPECT_THAT(FindViolations(record_), IsEmpty());
}

TEST_F(SoakRecordTest, SecondRunOfARequestIsFound) {
  AddRequest(200, false);
  record_.runs.insert({"c", {0, 1}});
  record_.runs.insert({"c", {1, 1}});
  EXPECT_THAT(FindViolations(record_), ElementsAre(HasSubstr("ran 2 times")));
}

TEST_F(SoakRecordTest, RefusalOfARequestThatRanIsFound) {
  AddRequest(503, false);
  record_.runs.insert({"c", {0, 1}});
  EXPECT_THAT(FindViolations(record_), ElementsAre(HasSubstr("was refused")));
}

TEST_F(SoakRecordTest, ResponseOfAnotherRequestIsFound) {
  AddRequest(200, true).body = "i-1 /order/other";
  EXPECT_THAT(FindViolations(record_), ElementsAre(HasSubstr("another")));
}

TEST_F(SoakRecordTest, UnknownRunAndLeakedKeyAreFound) {
  record_.runs.insert({"x", {0, 1}});
  record_.keys_seen = 1;
  EXPECT_THAT(
      FindViolations(record_),
      ElementsAre(HasSubstr("no caller sent"), HasSubstr("reached servers")));
}

TEST_F(SoakRecordTest, LateVersionIsFoundOnlyOutsideFaultPeriods) {
  record_.published = {{7, At(seconds(0))}};
  AddVersionCheck(milliseconds(2100), false);
  EXPECT_THAT(FindViolations(record_), ElementsAre(HasSubstr("in time")));
  record_.fault_periods = {{0, At(seconds(-4)), At(seconds(-1))}};
  EXPECT_THAT(FindViolations(record_), IsEmpty());
  record_.fault_periods = {{1, At(seconds(-4)), At(seconds(-1))}};
  EXPECT_THAT(FindViolations(record_), Not(IsEmpty()));
  record_.fault_periods = {{FaultPeriod::kAllInstances, At(seconds(1))}};
  EXPECT_THAT(FindViolations(record_), IsEmpty());
}

TEST_F(SoakRecordTest, RollbackIsFoundWithinOneIncarnation) {
  record_.published = {{7, At(seconds(0))}};
  record_.fault_periods = {{FaultPeriod::kAllInstances, At(seconds(0))}};
  AddVersionCheck(seconds(3), true);
  AddVersionCheck(seconds(4), false, 1);
  EXPECT_THAT(FindViolations(record_), IsEmpty());
  AddVersionCheck(seconds(4), false);
  EXPECT_THAT(FindViolations(record_), ElementsAre(HasSubstr("any more")));
}

// Guards against a false violation if a version is replaced while the request
// that checks it is in flight.
TEST_F(SoakRecordTest, ReplacedVersionIsNotARollback) {
  record_.published = {{7, At(seconds(0)), At(milliseconds(4003))}};
  AddVersionCheck(seconds(3), true);
  AddVersionCheck(seconds(4), false);
  EXPECT_THAT(FindViolations(record_), IsEmpty());
}

TEST_F(SoakRecordTest, RunInEvacuatedZoneIsFound) {
  AddRequest(200, true);
  record_.runs.insert({"c", {1, 1}});
  record_.evacuations = {{1, At(seconds(0))}};
  EXPECT_THAT(FindViolations(record_), ElementsAre(HasSubstr("evacuated")));
  record_.evacuations = {{0, At(seconds(0))}};
  EXPECT_THAT(FindViolations(record_), IsEmpty());
  // The evacuation can be lifted while the request is in flight.
  record_.evacuations = {{1, At(seconds(0)), At(milliseconds(6010))}};
  EXPECT_THAT(FindViolations(record_), IsEmpty());
}

// Guards against a plan that cannot be reproduced from its seed.
TEST(SoakPlanTest, SeedGivesTheSameFaults) {
  const SoakSize size;
  std::vector<std::string> first;
  std::vector<std::string> second;
  for (const SoakFault& fault : PlanSoak(7, size))
    first.push_back(Describe(fault));
  for (const SoakFault& fault : PlanSoak(7, size))
    second.push_back(Describe(fault));
  EXPECT_EQ(first, second);
  EXPECT_GT(first.size(), 5U);
}

}  // namespace
}  // namespace mangodoor
