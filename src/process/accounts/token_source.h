#ifndef PROCESS_ACCOUNTS_TOKEN_SOURCE_H_
#define PROCESS_ACCOUNTS_TOKEN_SOURCE_H_

#include <functional>

#include "version/ids.h"

namespace mangodoor {

/** Asks the lead of the data centre for tokens of client accounts. */
class TokenSource {
 public:
  virtual ~TokenSource() = default;

  /**
   * Calls `done` once, on any thread, with whether a token was lent. It waits
   * for some tens of milliseconds at most.
   */
  virtual void RequestToken(const ClientAccountId& account,
                            std::function<void(bool)> done) = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_TOKEN_SOURCE_H_
