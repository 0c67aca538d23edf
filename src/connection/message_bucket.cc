#include "connection/message_bucket.h"

#include <algorithm>

namespace mangodoor {

MessageBucket MakeFullBucket(const MessageRate& rate, TimePoint now) {
  return {rate.burst, now};
}

bool TakeMessageToken(MessageBucket& bucket,
                      const MessageRate& rate,
                      TimePoint now) {
  if (now > bucket.refilled_at) {
    const std::chrono::duration<double> elapsed = now - bucket.refilled_at;
    bucket.tokens =
        std::min(rate.burst, bucket.tokens + elapsed.count() * rate.per_s);
    bucket.refilled_at = now;
  }
  if (bucket.tokens < 1)
    return false;
  bucket.tokens -= 1;
  return true;
}

}  // namespace mangodoor
