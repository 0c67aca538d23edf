#include "request/attempt.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace mangodoor {
namespace {

using End = AttemptReport::End;
using Step = AttemptDecision::Step;

constexpr std::chrono::seconds kTimeLeft{1};

struct Case {
  const char* guards_against;
  bool idempotent;
  AttemptReport report;
  Duration remaining;
  bool budget_left;
  Step step;
  ErrorKind error = ErrorKind::kInternal;
  Outcome outcome = Outcome::kUnknown;
};

AttemptReport Report(End end, bool sent, bool dropped = false) {
  AttemptReport report;
  report.end = end;
  report.bytes_sent = sent;
  report.body_dropped = dropped;
  return report;
}

AttemptReport Begun(End end) {
  AttemptReport report = Report(end, true);
  report.response_begun = true;
  return report;
}

AttemptDecision DecideFirst(const Case& one) {
  const RequestTraits request{one.idempotent, false, 4};
  const AttemptHistory history = AddAttempt({}, one.report);
  return DecideAfterAttempt(request, history, one.report, one.remaining,
                            one.budget_left);
}

TEST(AttemptTest, FirstAttempt) {
  const std::vector<Case> cases = {
      {"a good response that is dropped", false, Report(End::kResponse, true),
       kTimeLeft, false, Step::kForward},
      {"a repeat of a transfer that was sent", false,
       Report(End::kConnectionLost, true), kTimeLeft, true, Step::kError,
       ErrorKind::kBackendBroken},
      {"a transfer that is rejected although nothing was sent", false,
       Report(End::kConnectionLost, false), kTimeLeft, false, Step::kRetry},
      {"a refused transfer that is not offered to another server", false,
       Report(End::kRefusedByServer, true), kTimeLeft, true, Step::kRetry},
      {"'not run' that is not passed on", false,
       Report(End::kRefusedByServer, true), kTimeLeft, false, Step::kError,
       ErrorKind::kBackendRefused, Outcome::kNotRun},
      {"a read that fails with one server", true,
       Report(End::kConnectionLost, true), kTimeLeft, true, Step::kRetry},
      {"repeats beyond the budget", true, Report(End::kConnectionLost, true),
       kTimeLeft, false, Step::kError, ErrorKind::kBackendBroken},
      {"a repeat after the deadline", true, Report(End::kConnectionLost, true),
       Duration::zero(), true, Step::kError, ErrorKind::kBackendBroken},
      {"a repeat without the first part of the body", true,
       Report(End::kConnectionLost, true, true), kTimeLeft, true, Step::kError,
       ErrorKind::kBackendBroken},
      {"a 503 that hides the server's own answer", true,
       Report(End::kUnavailable, true), kTimeLeft, false, Step::kForward},
      {"a transfer that runs again after a 503", false,
       Report(End::kUnavailable, true), kTimeLeft, true, Step::kForward},
      {"'not run' after a time limit", false, Report(End::kDeadline, true),
       Duration::zero(), true, Step::kError, ErrorKind::kBackendTimeout},
      {"'unknown' for what was never sent", false,
       Report(End::kDeadline, false), Duration::zero(), true, Step::kError,
       ErrorKind::kDeadlineExceeded, Outcome::kNotRun},
      {"an error answer in the middle of a response", true,
       Begun(End::kConnectionLost), kTimeLeft, true, Step::kCloseCaller},
      {"an answer to nobody", true, Report(End::kCallerGone, true), kTimeLeft,
       true, Step::kCloseCaller},
  };
  for (const Case& one : cases) {
    SCOPED_TRACE(one.guards_against);
    const AttemptDecision decision = DecideFirst(one);
    EXPECT_EQ(decision.step, one.step);
    if (one.step != Step::kError)
      continue;
    EXPECT_EQ(decision.error, one.error);
    EXPECT_EQ(decision.outcome, one.outcome);
  }
}

// Guards against "not run" when the first of two attempts may have run (I7).
TEST(AttemptTest, EarlierAttemptDecidesOutcome) {
  const AttemptHistory history =
      AddAttempt({}, Report(End::kConnectionLost, true));
  EXPECT_EQ(PlanError(ErrorKind::kNoServer, history).outcome,
            Outcome::kUnknown);
  EXPECT_EQ(PlanError(ErrorKind::kDeadlineExceeded, history).error,
            ErrorKind::kBackendTimeout);
  EXPECT_EQ(PlanError(ErrorKind::kMalformedRequest, history).outcome,
            Outcome::kUnknown);
}

// Guards against a second attempt beside a transfer, or beside a body.
TEST(AttemptTest, HedgesOnlyBodilessIdempotentRequestsOnce) {
  EXPECT_TRUE(MayHedge({true, false}, {}, kTimeLeft));
  EXPECT_FALSE(MayHedge({false, false}, {}, kTimeLeft));
  EXPECT_FALSE(MayHedge({true, true}, {}, kTimeLeft));
  AttemptHistory hedged;
  hedged.hedges = 1;
  EXPECT_FALSE(MayHedge({true, false}, hedged, kTimeLeft));
  EXPECT_FALSE(MayHedge({true, false}, {}, Duration::zero()));
}

// Guards against a transfer that runs twice (I8) and a false "not run" (I7),
// for any sequence of ends of attempts.
RC_GTEST_PROP(AttemptProperty, SentOnceAndNeverFalselyNotRun, ()) {
  const RequestTraits request{*rc::gen::arbitrary<bool>(),
                              *rc::gen::arbitrary<bool>()};
  AttemptHistory history;
  bool may_have_run = false;
  for (int i = 0; i < 20; ++i) {
    RC_ASSERT(request.idempotent || !may_have_run);
    AttemptReport report;
    report.end = static_cast<End>(
        *rc::gen::inRange(0, static_cast<int>(End::kCancelled) + 1));
    report.bytes_sent = *rc::gen::arbitrary<bool>();
    report.body_dropped = report.bytes_sent && *rc::gen::arbitrary<bool>();
    report.error = ErrorKind::kMalformedRequest;
    may_have_run |= report.bytes_sent && report.end != End::kRefusedByServer;
    history = AddAttempt(history, report);
    const auto remaining = std::chrono::seconds(*rc::gen::inRange(-1, 2));
    const AttemptDecision decision = DecideAfterAttempt(
        request, history, report, remaining, *rc::gen::arbitrary<bool>());
    if (decision.step == Step::kError && decision.outcome == Outcome::kNotRun)
      RC_ASSERT(!may_have_run);
    RC_ASSERT(!(decision.step == Step::kRetry && report.body_dropped));
    if (decision.step != Step::kRetry)
      return;
  }
  RC_FAIL("attempts go on without end");
}

}  // namespace
}  // namespace mangodoor
