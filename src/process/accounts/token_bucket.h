#ifndef PROCESS_ACCOUNTS_TOKEN_BUCKET_H_
#define PROCESS_ACCOUNTS_TOKEN_BUCKET_H_

#include <cstdint>

#include "process/clock.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/**
 * A rate and a burst in micro-tokens: of a client account over the fleet, of a
 * share, or of a capacity lease.
 */
struct RateAndBurst {
  MicroTokens rate_per_s = 0;
  MicroTokens burst = 0;
};

inline bool operator==(const RateAndBurst& a, const RateAndBurst& b) {
  return a.rate_per_s == b.rate_per_s && a.burst == b.burst;
}

RateAndBurst operator+(const RateAndBurst& a, const RateAndBurst& b);

/** `a` minus `b`, each value at least zero. */
RateAndBurst Remaining(const RateAndBurst& a, const RateAndBurst& b);

/** The smaller of both rates and the smaller of both bursts. */
RateAndBurst Minimum(const RateAndBurst& a, const RateAndBurst& b);

/** True if neither the rate nor the burst of `part` exceeds `whole`. */
bool Fits(const RateAndBurst& part, const RateAndBurst& whole);

/** A token bucket in integer arithmetic; only whole tokens admit requests. */
struct TokenBucket {
  MicroTokens tokens = 0;
  /** Fraction of a micro-token left by the last refill, in millionths. */
  int64_t fraction = 0;
  TimePoint refilled_at{};
};

/**
 * Adds the tokens due since the last refill, but no more than for one second,
 * up to the burst of `limit`.
 */
void Refill(TokenBucket& bucket, const RateAndBurst& limit, TimePoint now);

/** Discards the tokens above `burst`. */
void ClampTokens(TokenBucket& bucket, MicroTokens burst);

/** Empties the bucket; the next refill counts from `now`. */
void EmptyBucket(TokenBucket& bucket, TimePoint now);

/** Takes one token; false if there is no whole one. */
bool TakeToken(TokenBucket& bucket);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_TOKEN_BUCKET_H_
