#include <gtest/gtest.h>

#include <random>

#include "process/fake_clock.h"
#include "process/versions/document_request.h"
#include "process/versions/read_schedule.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kTick = milliseconds(50);

/** Reads and long polls that an instance starts within a minute. */
struct RequestCounts {
  int reads = 0;
  int polls = 0;
};

RequestCounts RequestsInAMinute(bool holds_poll,
                                Duration read_age,
                                bool answered) {
  FakeClock clock;
  ReadSchedule schedule;
  RequestCounts counts;
  const TimePoint end = clock.Now() + std::chrono::minutes(1);
  std::minstd_rand generator(1);
  while (clock.Now() < end) {
    const double random = std::uniform_real_distribution<double>()(generator);
    const ReadPlan plan =
        PlanReads(schedule, {clock.Now(), holds_poll, read_age, random});
    counts.reads += plan.start_read;
    counts.polls += plan.start_poll;
    clock.Advance(kTick);
    // A service that ignores the wait time answers polls at once.
    if (plan.start_read)
      FinishRead(schedule, ReadKind::kRead, answered, clock.Now(), random);
    if (plan.start_poll)
      FinishRead(schedule, ReadKind::kPoll, answered, clock.Now(), random);
  }
  return counts;
}

// Guards against a fleet of the target size, 18 data centres with 400 instances
// in total, that exceeds the service's limit of 2,000 requests a second.
TEST(ReadScheduleTest, FleetStaysUnderTheServiceLimit) {
  constexpr double kLimit = 2000;
  constexpr int kHolders = 36;
  constexpr int kOthers = 400 - kHolders;
  const auto per_second = [](const RequestCounts& holder,
                             const RequestCounts& other) {
    return (kHolders * (holder.reads + holder.polls) +
            kOthers * (other.reads + other.polls)) /
           60.0;
  };
  const Duration recent = milliseconds(300);
  EXPECT_LT(per_second(RequestsInAMinute(true, recent, true),
                       RequestsInAMinute(false, recent, true)),
            kLimit / 4);
  // The service answers every instance, but with stale data that does not
  // confirm the version.
  EXPECT_LT(per_second(RequestsInAMinute(true, seconds(9), true),
                       RequestsInAMinute(false, seconds(9), true)),
            kLimit / 2);
  // The service answers no instance.
  EXPECT_LT(per_second(RequestsInAMinute(true, seconds(9), false),
                       RequestsInAMinute(false, seconds(9), false)),
            kLimit / 2);
}

// Guards against an instance that waits for its next read, about 30 s after the
// last one, although no peer still confirms the version.
TEST(ReadScheduleTest, ReadsAtOnceWhenNoPeerConfirms) {
  FakeClock clock;
  ReadSchedule schedule;
  EXPECT_TRUE(PlanReads(schedule, {clock.Now(), false, {}, 0.5}).start_read);
  FinishRead(schedule, ReadKind::kRead, true, clock.Now(), 0.5);
  clock.Advance(seconds(5));
  EXPECT_FALSE(PlanReads(schedule, {clock.Now(), false, milliseconds(999), 0.5})
                   .start_read);
  EXPECT_TRUE(PlanReads(schedule, {clock.Now(), false, milliseconds(1001), 0.5})
                  .start_read);
}

// Guards against two reads of one kind at a time when the service is slow.
TEST(ReadScheduleTest, OneReadAtATime) {
  FakeClock clock;
  ReadSchedule schedule;
  EXPECT_TRUE(PlanReads(schedule, {clock.Now(), true, {}, 0}).start_read);
  clock.Advance(seconds(60));
  const ReadPlan plan =
      PlanReads(schedule, {clock.Now(), true, Duration::max(), 0});
  EXPECT_FALSE(plan.start_read);
  EXPECT_FALSE(plan.start_poll);
}

// Guards against a data centre that holds no long poll, or too many.
TEST(ReadScheduleTest, TwoInstancesHoldLongPolls) {
  std::vector<InstanceId> all;
  all.reserve(9);
  for (int i = 0; i < 9; ++i)
    all.emplace_back("i" + std::to_string(i));
  int holders = 0;
  for (const InstanceId& self : all) {
    std::vector<InstanceId> others;
    for (const InstanceId& id : all) {
      if (id != self)
        others.push_back(id);
    }
    holders += HoldsLongPoll(self, DataCentreId("dc"), others);
  }
  EXPECT_EQ(holders, 2);
}

// Guards against a peer that does not answer and so delays the version.
TEST(DocumentRequestTest, NextPeerAfterATimeout) {
  FakeClock clock;
  DocumentRequestState state;
  const std::vector<DocumentHolder> holders{{InstanceId("far"), false, 9},
                                            {InstanceId("near"), true, 9},
                                            {InstanceId("behind"), true, 8}};
  const auto plan_request = [&] {
    const auto request = PlanDocumentRequest(state, holders, clock.Now());
    return request ? request->peer.value() : std::string("none");
  };
  EXPECT_EQ(plan_request(), "near");
  EXPECT_EQ(plan_request(), "none");
  clock.Advance(kDocumentTimeout);
  EXPECT_EQ(plan_request(), "far");
  clock.Advance(kDocumentTimeout);
  EXPECT_EQ(plan_request(), "behind");
  clock.Advance(kDocumentTimeout);
  EXPECT_EQ(plan_request(), "near");
  FinishDocumentRequest(state, InstanceId("near"));
  EXPECT_EQ(plan_request(), "far");
}

}  // namespace
}  // namespace mangodoor
