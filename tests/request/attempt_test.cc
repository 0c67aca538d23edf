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

AttemptReport ReportAfterResponseBegan(End end) {
  AttemptReport report = Report(end, true);
  report.response_begun = true;
  return report;
}

AttemptDecision DecideAfterFirstAttempt(const Case& test_case) {
  const RequestTraits request{test_case.idempotent, false, 4};
  const AttemptHistory history = AddAttempt({}, test_case.report);
  return DecideAfterAttempt(request, history, test_case.report,
                            test_case.remaining, test_case.budget_left);
}

TEST(AttemptTest, FirstAttempt) {
  const std::vector<Case> cases = {
      {"a successful response that is not forwarded", false,
       Report(End::kResponse, true), kTimeLeft, false, Step::kForward},
      {"a retry of a non-idempotent request that was sent", false,
       Report(End::kConnectionLost, true), kTimeLeft, true, Step::kError,
       ErrorKind::kBackendBroken},
      {"a non-idempotent request that fails although nothing was sent", false,
       Report(End::kConnectionLost, false), kTimeLeft, false, Step::kRetry},
      {"a refused request that is not offered to another server", false,
       Report(End::kRefusedByServer, true), kTimeLeft, true, Step::kRetry},
      {"'not run' of a server that is not reported to the caller", false,
       Report(End::kRefusedByServer, true), kTimeLeft, false, Step::kError,
       ErrorKind::kBackendRefused, Outcome::kNotRun},
      {"an idempotent request that fails with its first server", true,
       Report(End::kConnectionLost, true), kTimeLeft, true, Step::kRetry},
      {"retries beyond the budget", true, Report(End::kConnectionLost, true),
       kTimeLeft, false, Step::kError, ErrorKind::kBackendBroken},
      {"a retry after the deadline", true, Report(End::kConnectionLost, true),
       Duration::zero(), true, Step::kError, ErrorKind::kBackendBroken},
      {"a retry without the first part of the body", true,
       Report(End::kConnectionLost, true, true), kTimeLeft, true, Step::kError,
       ErrorKind::kBackendBroken},
      {"an error of this instance that replaces a 503 response", true,
       Report(End::kUnavailable, true), kTimeLeft, false, Step::kForward},
      {"a non-idempotent request that runs again after a 503", false,
       Report(End::kUnavailable, true), kTimeLeft, true, Step::kForward},
      {"'not run' for a sent request whose deadline has passed", false,
       Report(End::kDeadline, true), Duration::zero(), true, Step::kError,
       ErrorKind::kBackendTimeout},
      {"'unknown' for a request that was never sent", false,
       Report(End::kDeadline, false), Duration::zero(), true, Step::kError,
       ErrorKind::kDeadlineExceeded, Outcome::kNotRun},
      {"an error response in the middle of a response", true,
       ReportAfterResponseBegan(End::kConnectionLost), kTimeLeft, true,
       Step::kCloseCaller},
      {"a response to a caller that has hung up", true,
       Report(End::kCallerGone, true), kTimeLeft, true, Step::kCloseCaller},
  };
  for (const Case& test_case : cases) {
    SCOPED_TRACE(test_case.guards_against);
    const AttemptDecision decision = DecideAfterFirstAttempt(test_case);
    EXPECT_EQ(decision.step, test_case.step);
    if (test_case.step != Step::kError)
      continue;
    EXPECT_EQ(decision.error, test_case.error);
    EXPECT_EQ(decision.outcome, test_case.outcome);
  }
}

// Guards against reporting "not run" when an earlier attempt may have run
// (docs/design.md 1.2, I7).
TEST(AttemptTest, EarlierAttemptDeterminesOutcome) {
  const AttemptHistory history =
      AddAttempt({}, Report(End::kConnectionLost, true));
  EXPECT_EQ(PlanError(ErrorKind::kNoServer, history).outcome,
            Outcome::kUnknown);
  EXPECT_EQ(PlanError(ErrorKind::kDeadlineExceeded, history).error,
            ErrorKind::kBackendTimeout);
  EXPECT_EQ(PlanError(ErrorKind::kMalformedRequest, history).outcome,
            Outcome::kUnknown);
}

// Guards against a hedge of a request that is not idempotent or has a body.
TEST(AttemptTest, HedgesOnlyBodilessIdempotentRequestsOnce) {
  EXPECT_TRUE(MayHedge({true, false}, {}, kTimeLeft));
  EXPECT_FALSE(MayHedge({false, false}, {}, kTimeLeft));
  EXPECT_FALSE(MayHedge({true, true}, {}, kTimeLeft));
  AttemptHistory hedged;
  hedged.hedges = 1;
  EXPECT_FALSE(MayHedge({true, false}, hedged, kTimeLeft));
  EXPECT_FALSE(MayHedge({true, false}, {}, Duration::zero()));
}

// Guards against a non-idempotent request that runs twice (docs/design.md 1.2,
// I8) and a false "not run" (I7), whatever the sequence of attempts and their
// ends.
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
  RC_FAIL("attempts without an end");
}

}  // namespace
}  // namespace mangodoor
