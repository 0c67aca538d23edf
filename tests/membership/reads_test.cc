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

/** Reads and polls that one instance starts within a minute. */
struct Calls {
  int reads = 0;
  int polls = 0;
};

Calls CallsInAMinute(bool holds_poll, Duration read_age, bool answered) {
  FakeClock clock;
  ReadSchedule schedule;
  Calls calls;
  const TimePoint end = clock.Now() + std::chrono::minutes(1);
  std::minstd_rand generator(1);
  while (clock.Now() < end) {
    const double random = std::uniform_real_distribution<double>()(generator);
    const ReadPlan plan =
        PlanReads(schedule, {clock.Now(), holds_poll, read_age, random});
    calls.reads += plan.start_read;
    calls.polls += plan.start_poll;
    clock.Advance(kTick);
    // A service that ignores the wait answers polls at once.
    if (plan.start_read)
      FinishRead(schedule, ReadKind::kRead, answered, clock.Now(), random);
    if (plan.start_poll)
      FinishRead(schedule, ReadKind::kPoll, answered, clock.Now(), random);
  }
  return calls;
}

// Guards against a fleet of the target size, 18 data centres with 400
// instances, that uses up the 2,000 calls a second of the service.
TEST(ReadScheduleTest, FleetStaysUnderTheServiceLimit) {
  constexpr double kLimit = 2000;
  constexpr int kHolders = 36;
  constexpr int kOthers = 400 - kHolders;
  const auto per_second = [](const Calls& holder, const Calls& other) {
    return (kHolders * (holder.reads + holder.polls) +
            kOthers * (other.reads + other.polls)) /
           60.0;
  };
  const Duration recent = milliseconds(300);
  EXPECT_LT(per_second(CallsInAMinute(true, recent, true),
                       CallsInAMinute(false, recent, true)),
            kLimit / 4);
  // The service is stale for all: answers come, but confirm nothing.
  EXPECT_LT(per_second(CallsInAMinute(true, seconds(9), true),
                       CallsInAMinute(false, seconds(9), true)),
            kLimit / 2);
  // The service is down for all.
  EXPECT_LT(per_second(CallsInAMinute(true, seconds(9), false),
                       CallsInAMinute(false, seconds(9), false)),
            kLimit / 2);
}

// Guards against an instance that waits for its 30 s although no peer
// confirms the version any more.
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

// Guards against a data centre with no long poll, or with many.
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

// Guards against a peer that does not answer and keeps the version away.
TEST(DocumentRequestTest, NextPeerAfterATimeOut) {
  FakeClock clock;
  DocumentRequestState state;
  const std::vector<DocumentHolder> holders{{InstanceId("far"), false, 9},
                                            {InstanceId("near"), true, 9},
                                            {InstanceId("behind"), true, 8}};
  const auto ask = [&] {
    const auto question = PlanDocumentRequest(state, holders, clock.Now());
    return question ? question->peer.value() : std::string("nobody");
  };
  EXPECT_EQ(ask(), "near");
  EXPECT_EQ(ask(), "nobody");
  clock.Advance(kDocumentTimeout);
  EXPECT_EQ(ask(), "far");
  clock.Advance(kDocumentTimeout);
  EXPECT_EQ(ask(), "behind");
  clock.Advance(kDocumentTimeout);
  EXPECT_EQ(ask(), "near");
  FinishDocumentRequest(state, InstanceId("near"));
  EXPECT_EQ(ask(), "far");
}

}  // namespace
}  // namespace mangodoor
