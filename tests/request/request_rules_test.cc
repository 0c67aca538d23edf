#include <gtest/gtest.h>

#include "process/servers/io/health_prober.h"
#include "process/servers/retry_table.h"
#include "request/deadline.h"
#include "request/load_metrics.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

// Guards against a caller that gets more time than its route allows.
TEST(DeadlineTest, IsAtMostRouteTimeout) {
  Route route;
  route.timeout = milliseconds(100);
  const TimePoint now{};
  EXPECT_EQ(DeadlineFor(route, milliseconds(5000), now), now + route.timeout);
  EXPECT_EQ(DeadlineFor(route, milliseconds(20), now), now + milliseconds(20));
  EXPECT_EQ(DeadlineFor(route, std::nullopt, now), now + route.timeout);
}

TEST(DeadlineTest, ReadsWholeNumbersOnly) {
  EXPECT_EQ(ParseMilliseconds("250"), milliseconds(250));
  EXPECT_TRUE(ParseMilliseconds("99999999999999999999999"));
  for (const char* text : {"", "-1", "1.5", "+1", "1s", " 1"})
    EXPECT_FALSE(ParseMilliseconds(text)) << text;
}

// Guards against a load report that cannot be parsed and is taken for a report
// of no load.
TEST(LoadMetricsTest, ReadsKnownMetrics) {
  const LoadMetrics report = ParseLoadMetrics(
      "TEXT application_utilization=0.67, named_metrics.in_flight=2, "
      "named_metrics.cold=1");
  EXPECT_EQ(report.in_flight, 2);
  EXPECT_EQ(report.cold, true);
  EXPECT_FALSE(ParseLoadMetrics("JSON {}").in_flight);
  EXPECT_FALSE(ParseLoadMetrics("TEXT named_metrics.in_flight=x").in_flight);
  EXPECT_FALSE(ParseLoadMetrics("TEXT named_metrics.in_flight=nan").in_flight);
}

// Guards against an invalid health response that crashes the prober or makes a
// server count as warm.
TEST(HealthTest, ReadsStates) {
  EXPECT_EQ(ParseHealth(R"({"state":"draining","in_flight":2})").state,
            ServerState::kDraining);
  EXPECT_FALSE(ParseHealth(R"({"state":"fine"})").state);
  EXPECT_FALSE(ParseHealth("[]").state);
  EXPECT_FALSE(ParseHealth("{").state);
}

// Guards against retries that multiply the load of an overloaded service.
TEST(RetryBudgetTest, AllowsOneFifthOfRequestsPlusThreePerSecond) {
  RetryBudget budget;
  TimePoint now{std::chrono::hours(1)};
  int allowed = 0;
  const auto take_all_retries = [&] {
    for (allowed = 0; MayRetry(budget, now) && allowed < 1000; ++allowed)
      CountRetry(budget, now);
    return allowed;
  };
  EXPECT_EQ(take_all_retries(), 3);
  for (int i = 0; i < 100; ++i)
    CountRequest(budget, now);
  EXPECT_EQ(take_all_retries(), 17);
  now += std::chrono::seconds(5);
  EXPECT_EQ(take_all_retries(), 3);
}

}  // namespace
}  // namespace mangodoor
