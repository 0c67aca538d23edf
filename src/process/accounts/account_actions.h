#ifndef PROCESS_ACCOUNTS_ACCOUNT_ACTIONS_H_
#define PROCESS_ACCOUNTS_ACCOUNT_ACTIONS_H_

#include <functional>
#include <optional>
#include <vector>

#include "process/error_kind.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/**
 * Tells a waiting request how it was decided: admitted, or refused with an
 * error kind. Called once, with no lock held.
 */
using AdmissionCallback = std::function<void(std::optional<ErrorKind>)>;

/** What is to be done after a call, once no lock is held. */
struct AccountActions {
  std::vector<std::function<void()>> callbacks;
  std::vector<OutgoingMessage> messages;
};

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ACCOUNT_ACTIONS_H_
