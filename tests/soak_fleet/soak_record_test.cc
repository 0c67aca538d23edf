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

// Guards against a soak that finds nothing because its checks cannot fail:
// each deliberate fault has to be found.
class SoakRecordTest : public testing::Test {
 protected:
  static TimePoint At(milliseconds offset) {
    return TimePoint(std::chrono::hours(1)) + offset;
  }

  SeenCall& AddCall(int status, bool idempotent) {
    SeenCall call;
    call.id = "c";
    call.path = "/order/c";
    call.idempotent = idempotent;
    call.status = status;
    call.body = status == 200 ? "i-1 /order/c" : "";
    call.sent = At(seconds(6));
    call.ended = At(milliseconds(6020));
    record_.calls.push_back(call);
    return record_.calls.back();
  }

  void AddVersion(milliseconds asked, bool in_force, int lifetime = 0) {
    record_.versions.push_back(
        {0, lifetime, 7, At(asked), At(asked + milliseconds(5)), in_force});
  }

  SoakRecord record_;
};

TEST_F(SoakRecordTest, GoodRunBreaksNothing) {
  AddCall(200, false);
  record_.runs.insert({"c", {0, 1}});
  record_.published = {{7, At(seconds(0))}};
  AddVersion(milliseconds(1900), false);
  AddVersion(seconds(3), true);
  EXPECT_THAT(BrokenPromises(record_), IsEmpty());
}

TEST_F(SoakRecordTest, SecondRunIsFound) {
  AddCall(200, false);
  record_.runs.insert({"c", {0, 1}});
  record_.runs.insert({"c", {1, 1}});
  EXPECT_THAT(BrokenPromises(record_), ElementsAre(HasSubstr("ran 2 times")));
}

TEST_F(SoakRecordTest, UntrueRefusalIsFound) {
  AddCall(503, false);
  record_.runs.insert({"c", {0, 1}});
  EXPECT_THAT(BrokenPromises(record_), ElementsAre(HasSubstr("was refused")));
}

TEST_F(SoakRecordTest, ForeignAnswerIsFound) {
  AddCall(200, true).body = "i-1 /order/other";
  EXPECT_THAT(BrokenPromises(record_), ElementsAre(HasSubstr("another")));
}

TEST_F(SoakRecordTest, UnaskedRunAndShownKeyAreFound) {
  record_.runs.insert({"x", {0, 1}});
  record_.keys_seen = 1;
  EXPECT_THAT(
      BrokenPromises(record_),
      ElementsAre(HasSubstr("no caller sent"), HasSubstr("reached servers")));
}

TEST_F(SoakRecordTest, LateVersionIsFoundOnlyInTouch) {
  record_.published = {{7, At(seconds(0))}};
  AddVersion(milliseconds(2100), false);
  EXPECT_THAT(BrokenPromises(record_), ElementsAre(HasSubstr("in time")));
  record_.troubles = {{0, At(seconds(-4)), At(seconds(-1))}};
  EXPECT_THAT(BrokenPromises(record_), IsEmpty());
  record_.troubles = {{1, At(seconds(-4)), At(seconds(-1))}};
  EXPECT_THAT(BrokenPromises(record_), Not(IsEmpty()));
  record_.troubles = {{Trouble::kAll, At(seconds(1))}};
  EXPECT_THAT(BrokenPromises(record_), IsEmpty());
}

TEST_F(SoakRecordTest, RegressIsFoundWithinALifetime) {
  record_.published = {{7, At(seconds(0))}};
  record_.troubles = {{Trouble::kAll, At(seconds(0))}};
  AddVersion(seconds(3), true);
  AddVersion(seconds(4), false, 1);
  EXPECT_THAT(BrokenPromises(record_), IsEmpty());
  AddVersion(seconds(4), false);
  EXPECT_THAT(BrokenPromises(record_), ElementsAre(HasSubstr("any more")));
}

// A version may be replaced while the question is on its way.
TEST_F(SoakRecordTest, ReplacedVersionIsNoRegress) {
  record_.published = {{7, At(seconds(0)), At(milliseconds(4003))}};
  AddVersion(seconds(3), true);
  AddVersion(seconds(4), false);
  EXPECT_THAT(BrokenPromises(record_), IsEmpty());
}

TEST_F(SoakRecordTest, RunInEvacuatedZoneIsFound) {
  AddCall(200, true);
  record_.runs.insert({"c", {1, 1}});
  record_.evacuations = {{1, At(seconds(0))}};
  EXPECT_THAT(BrokenPromises(record_), ElementsAre(HasSubstr("evacuated")));
  record_.evacuations = {{0, At(seconds(0))}};
  EXPECT_THAT(BrokenPromises(record_), IsEmpty());
  // The order may be lifted while the request is on its way.
  record_.evacuations = {{1, At(seconds(0)), At(milliseconds(6010))}};
  EXPECT_THAT(BrokenPromises(record_), IsEmpty());
}

// Guards against a seed that cannot be played again.
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
