#ifndef PROCESS_ACCOUNTS_TOKEN_BUCKET_H_
#define PROCESS_ACCOUNTS_TOKEN_BUCKET_H_

#include <cstdint>

#include "process/clock.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/** A rate and a burst: of the fleet, of a share, or of a capacity lease. */
struct Share {
  MicroTokens rate_per_s = 0;
  MicroTokens burst = 0;
};

inline bool operator==(const Share& a, const Share& b) {
  return a.rate_per_s == b.rate_per_s && a.burst == b.burst;
}

Share operator+(const Share& a, const Share& b);

/** `a` less `b`, but nothing below zero. */
Share Remaining(const Share& a, const Share& b);

/** The smaller rate and the smaller burst of two shares. */
Share Smaller(const Share& a, const Share& b);

/** True if neither the rate nor the burst of `part` exceeds `whole`. */
bool Fits(const Share& part, const Share& whole);

/** Tokens at hand; only whole ones admit a request. */
struct TokenBucket {
  MicroTokens tokens = 0;
  /** Minted part of a micro-token, in millionths. */
  int64_t fraction = 0;
  TimePoint minted_until{};
};

/** Mints at the rate of `share` until `now`, up to its burst. */
void Mint(TokenBucket& bucket, const Share& share, TimePoint now);

/** Discards the tokens above `burst`. */
void Clamp(TokenBucket& bucket, MicroTokens burst);

/** Empties the bucket; minting goes on from `now`. */
void Empty(TokenBucket& bucket, TimePoint now);

/** Takes one token if a whole one is there. */
bool TakeToken(TokenBucket& bucket);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_TOKEN_BUCKET_H_
