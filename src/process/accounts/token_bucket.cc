#include "process/accounts/token_bucket.h"

#include <algorithm>

namespace mangodoor {
namespace {

constexpr int64_t kFractionsPerMicroToken = 1000000;

// Longer intervals never occur, since a gap of 500 ms empties the bucket. The
// limit keeps the products below 2^63 at the highest rate, 10^12 a second.
constexpr Duration kLongestInterval = std::chrono::seconds(1);

}  // namespace

Share operator+(const Share& a, const Share& b) {
  return {a.rate_per_s + b.rate_per_s, a.burst + b.burst};
}

Share Remaining(const Share& a, const Share& b) {
  return {std::max<MicroTokens>(0, a.rate_per_s - b.rate_per_s),
          std::max<MicroTokens>(0, a.burst - b.burst)};
}

Share Smaller(const Share& a, const Share& b) {
  return {std::min(a.rate_per_s, b.rate_per_s), std::min(a.burst, b.burst)};
}

bool Fits(const Share& part, const Share& whole) {
  return part.rate_per_s <= whole.rate_per_s && part.burst <= whole.burst;
}

void Mint(TokenBucket& bucket, const Share& share, TimePoint now) {
  if (now <= bucket.minted_until)
    return;
  const Duration interval =
      std::min<Duration>(now - bucket.minted_until, kLongestInterval);
  bucket.minted_until = now;
  // In millionths of a micro-token; split so that no product overflows.
  const int64_t minted = share.rate_per_s * (interval.count() / 1000) +
                         share.rate_per_s * (interval.count() % 1000) / 1000 +
                         bucket.fraction;
  bucket.fraction = minted % kFractionsPerMicroToken;
  bucket.tokens += minted / kFractionsPerMicroToken;
  Clamp(bucket, share.burst);
}

void Clamp(TokenBucket& bucket, MicroTokens burst) {
  if (bucket.tokens < burst)
    return;
  bucket.tokens = burst;
  bucket.fraction = 0;
}

void Empty(TokenBucket& bucket, TimePoint now) {
  bucket.tokens = 0;
  bucket.fraction = 0;
  bucket.minted_until = now;
}

bool TakeToken(TokenBucket& bucket) {
  if (bucket.tokens < kMicroTokensPerToken)
    return false;
  bucket.tokens -= kMicroTokensPerToken;
  return true;
}

}  // namespace mangodoor
