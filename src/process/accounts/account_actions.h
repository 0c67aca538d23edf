#ifndef PROCESS_ACCOUNTS_ACCOUNT_ACTIONS_H_
#define PROCESS_ACCOUNTS_ACCOUNT_ACTIONS_H_

#include <functional>
#include <optional>
#include <vector>

#include "process/error_kind.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/**
 * Receives the decision on a waiting request: no error if it is admitted, else
 * the error with which it is refused. Called once, with no lock held; never if
 * the request is withdrawn.
 */
using AdmissionCallback = std::function<void(std::optional<ErrorKind>)>;

/**
 * Callbacks to run and messages to send after the lock of the account table has
 * been released.
 */
struct AccountActions {
  std::vector<std::function<void()>> callbacks;
  std::vector<OutgoingMessage> messages;
};

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ACCOUNT_ACTIONS_H_
