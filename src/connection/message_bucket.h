#ifndef CONNECTION_MESSAGE_BUCKET_H_
#define CONNECTION_MESSAGE_BUCKET_H_

#include "process/clock.h"

namespace mangodoor {

/** Rate limit for the messages that a connection receives. */
struct MessageRate {
  double per_s = 0;
  double burst = 0;
};

/** Token bucket over the messages that one connection receives. */
struct MessageBucket {
  double tokens = 0;
  TimePoint refilled_at{};
};

MessageBucket MakeFullBucket(const MessageRate& rate, TimePoint now);

/** Takes a token for a message. False if the peer exceeds its rate. */
bool TakeMessageToken(MessageBucket& bucket,
                      const MessageRate& rate,
                      TimePoint now);

}  // namespace mangodoor

#endif  // CONNECTION_MESSAGE_BUCKET_H_
