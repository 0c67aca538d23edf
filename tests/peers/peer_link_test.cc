#include "connection/peer_link.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "connection/message_bucket.h"

namespace mangodoor {
namespace {

using std::chrono::milliseconds;

PeerLinkOrigin FromSmaller() {
  return {InstanceId("a"), InstanceId("b")};
}

PeerLinkOrigin FromLarger() {
  return {InstanceId("b"), InstanceId("a")};
}

// Guards against two instances that each close the connection that the other
// keeps. The connection opened by the smaller id must stay, whichever of the
// two is established second.
TEST(PeerLinkTest, BothEndsKeepTheSameConnection) {
  EXPECT_TRUE(ReplacesLink(FromSmaller(), FromLarger()));
  EXPECT_FALSE(ReplacesLink(FromLarger(), FromSmaller()));
}

// Guards against refusing a restarted peer because its dead connection is still
// registered.
TEST(PeerLinkTest, NewerConnectionOfTheSameSideStays) {
  EXPECT_TRUE(ReplacesLink(FromSmaller(), FromSmaller()));
  EXPECT_TRUE(ReplacesLink(FromLarger(), FromLarger()));
}

// Guards against reconnecting without a delay, and against a delay over the
// maximum.
RC_GTEST_PROP(PeerLinkProperty, DelayStaysWithinItsBounds, ()) {
  const ReconnectDelays delays{milliseconds(100), milliseconds(5000)};
  const int failures = *rc::gen::inRange(0, 1000000);
  const double random = *rc::gen::inRange(0, 1000) / 1000.0;
  const Duration delay = ReconnectDelay(delays, failures, random);
  RC_ASSERT(delay >= milliseconds(50));
  RC_ASSERT(delay <= milliseconds(5000));
  if (failures > 6)
    RC_ASSERT(delay >= milliseconds(2500));
}

// Guards against a bucket that admits more than burst and rate allow.
RC_GTEST_PROP(MessageBucketProperty,
              AdmitsAtMostBurstAndRate,
              (const std::vector<uint16_t>& gaps_ms)) {
  const MessageRate rate{10, 5};
  TimePoint now{std::chrono::hours(1)};
  const TimePoint start = now;
  MessageBucket bucket = MakeFullBucket(rate, now);
  int taken = 0;
  for (const uint16_t gap : gaps_ms) {
    now += milliseconds(gap % 300);
    taken += TakeMessageToken(bucket, rate, now);
    const std::chrono::duration<double> elapsed = now - start;
    RC_ASSERT(taken <= rate.burst + elapsed.count() * rate.per_s + 1e-6);
  }
}

}  // namespace
}  // namespace mangodoor
