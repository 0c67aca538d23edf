#include "process/accounts/token_bucket.h"

#include <algorithm>

namespace mangodoor {
namespace {

constexpr int64_t kFractionsPerMicroToken = 1000000;

// Keeps the products below 2^63 at the highest rate, 10^12 micro-tokens a
// second. Only message budgets reach this limit: the buckets of client accounts
// are emptied after a clock gap of more than 500 ms.
constexpr Duration kMaxRefillInterval = std::chrono::seconds(1);

}  // namespace

RateAndBurst operator+(const RateAndBurst& a, const RateAndBurst& b) {
  return {a.rate_per_s + b.rate_per_s, a.burst + b.burst};
}

RateAndBurst Remaining(const RateAndBurst& a, const RateAndBurst& b) {
  return {std::max<MicroTokens>(0, a.rate_per_s - b.rate_per_s),
          std::max<MicroTokens>(0, a.burst - b.burst)};
}

RateAndBurst Minimum(const RateAndBurst& a, const RateAndBurst& b) {
  return {std::min(a.rate_per_s, b.rate_per_s), std::min(a.burst, b.burst)};
}

bool Fits(const RateAndBurst& part, const RateAndBurst& whole) {
  return part.rate_per_s <= whole.rate_per_s && part.burst <= whole.burst;
}

void Refill(TokenBucket& bucket, const RateAndBurst& limit, TimePoint now) {
  if (now <= bucket.refilled_at)
    return;
  const Duration interval =
      std::min<Duration>(now - bucket.refilled_at, kMaxRefillInterval);
  bucket.refilled_at = now;
  // In millionths of a micro-token; split so that no product overflows.
  const int64_t added = limit.rate_per_s * (interval.count() / 1000) +
                        limit.rate_per_s * (interval.count() % 1000) / 1000 +
                        bucket.fraction;
  bucket.fraction = added % kFractionsPerMicroToken;
  bucket.tokens += added / kFractionsPerMicroToken;
  ClampTokens(bucket, limit.burst);
}

void ClampTokens(TokenBucket& bucket, MicroTokens burst) {
  if (bucket.tokens < burst)
    return;
  bucket.tokens = burst;
  bucket.fraction = 0;
}

void EmptyBucket(TokenBucket& bucket, TimePoint now) {
  bucket.tokens = 0;
  bucket.fraction = 0;
  bucket.refilled_at = now;
}

bool TakeToken(TokenBucket& bucket) {
  if (bucket.tokens < kMicroTokensPerToken)
    return false;
  bucket.tokens -= kMicroTokensPerToken;
  return true;
}

}  // namespace mangodoor
