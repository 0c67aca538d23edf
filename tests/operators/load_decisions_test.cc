#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "process/load/load_run_report.h"
#include "process/load/request_result.h"
#include "process/membership/address_cache.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using ::testing::EndsWith;
using ::testing::HasSubstr;

constexpr auto kResponse = RequestAttempt::End::kResponse;
constexpr TimePoint kStart{std::chrono::hours(1)};

Endpoint First() {
  return {"10.0.0.1", 1};
}

Endpoint Second() {
  return {"10.0.0.2", 1};
}

// Guards against a caller that uses addresses after their time to live.
TEST(AddressCacheTest, AddressesExpire) {
  AddressCache cache;
  EXPECT_TRUE(NeedsRefresh(cache, kStart));
  EXPECT_FALSE(ChooseAddress(cache, 0, kStart));
  SetAddresses(cache, {First(), Second()}, milliseconds(5000), kStart);
  EXPECT_FALSE(NeedsRefresh(cache, kStart + milliseconds(4999)));
  EXPECT_TRUE(NeedsRefresh(cache, kStart + milliseconds(5000)));
}

// Guards against a caller that keeps using an address that has failed, and
// against one that never returns to it.
TEST(AddressCacheTest, FailedAddressIsAvoidedTemporarily) {
  AddressCache cache;
  SetAddresses(cache, {First(), Second()}, milliseconds(5000), kStart);
  EXPECT_EQ(ChooseAddress(cache, 0, kStart), First());
  EXPECT_EQ(ChooseAddress(cache, 3, kStart), Second());
  AvoidAddress(cache, First(), kStart);
  EXPECT_EQ(ChooseAddress(cache, 0, kStart), Second());
  AvoidAddress(cache, Second(), kStart);
  EXPECT_EQ(ChooseAddress(cache, 0, kStart), First());
  EXPECT_EQ(ChooseAddress(cache, 1, kStart + milliseconds(1000)), Second());
}

// Guards against running a request twice, such as a second order for the same
// goods, and against retries that cannot succeed.
TEST(RequestResultTest, OnlySafeRetriesAreAllowed) {
  EXPECT_TRUE(MayRetry({kResponse, 503, "queue_full", "not-run"}, false));
  EXPECT_TRUE(MayRetry({kResponse, 429, "rate_exceeded", "not-run"}, false));
  EXPECT_FALSE(MayRetry({kResponse, 503, "", ""}, false));
  EXPECT_FALSE(MayRetry({kResponse, 502, "backend_broken", "unknown"}, true));
  EXPECT_FALSE(MayRetry({kResponse, 403, "key_unknown", "not-run"}, true));
  EXPECT_FALSE(MayRetry({kResponse, 200, "", ""}, true));
  EXPECT_TRUE(MayRetry({RequestAttempt::End::kNotSent, 0, "", ""}, false));
  EXPECT_FALSE(MayRetry({RequestAttempt::End::kBroken, 0, "", ""}, false));
  EXPECT_TRUE(MayRetry({RequestAttempt::End::kBroken, 0, "", ""}, true));
  EXPECT_TRUE(IsIdempotentMethod("PUT"));
  EXPECT_FALSE(IsIdempotentMethod("POST"));
}

// Guards against counting error responses of an instance as served.
TEST(LoadRunReportTest, CountsByAnswer) {
  LoadRunReport report;
  AddRequest(report, {{kResponse, 200, "", ""}, milliseconds(2), 1});
  AddRequest(report, {{kResponse, 404, "", ""}, milliseconds(4), 3});
  AddRequest(report, {{kResponse, 500, "", ""}, milliseconds(9), 1});
  AddRequest(report, {{kResponse, 429, "rate_exceeded", "not-run"}, {}, 5});
  AddRequest(report, {{RequestAttempt::End::kBroken, 0, "", ""}, {}, 1});
  EXPECT_EQ(report.served, 2U);
  EXPECT_EQ(report.refused, 1U);
  EXPECT_EQ(report.retries, 6U);
  const std::string text = FormatReport(report, std::chrono::seconds(2));
  EXPECT_THAT(text, HasSubstr("status 429 rate_exceeded, not-run: 1\n"));
  EXPECT_THAT(text, HasSubstr("no whole response, unknown: 1\n"));
  EXPECT_THAT(text, HasSubstr("rate: 2.500 requests/s over 2.000 s\n"));
  EXPECT_THAT(text, HasSubstr("latency: p50 2.000 ms p99 4.000 ms"));
  EXPECT_THAT(text, EndsWith("\nserved 2 of 5 requests\n"));
}

// Guards against a percentile that is off by one rank.
TEST(LoadRunReportTest, PercentileIsTheNearestRank) {
  std::vector<Duration> latencies;
  EXPECT_EQ(Percentile(latencies, 0.5), Duration::zero());
  for (int i = 100; i > 0; --i)
    latencies.emplace_back(milliseconds(i));
  EXPECT_EQ(Percentile(latencies, 0.5), milliseconds(50));
  EXPECT_EQ(Percentile(latencies, 0.99), milliseconds(99));
  EXPECT_EQ(Percentile(latencies, 0.999), milliseconds(100));
  EXPECT_EQ(Percentile(latencies, 1), milliseconds(100));
}

}  // namespace
}  // namespace mangodoor
