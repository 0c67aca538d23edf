#ifndef PROCESS_ACCOUNTS_TOKEN_SOURCE_H_
#define PROCESS_ACCOUNTS_TOKEN_SOURCE_H_

#include <functional>

#include "version/ids.h"

namespace mangodoor {

/** Requests tokens of client accounts from the leader of the data centre. */
class TokenSource {
 public:
  virtual ~TokenSource() = default;

  /**
   * Calls `done` once, on any thread, with true if a token was granted. Without
   * a reply, `done` is called with false after some tens of milliseconds.
   */
  virtual void RequestToken(const ClientAccountId& account,
                            std::function<void(bool)> done) = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_TOKEN_SOURCE_H_
