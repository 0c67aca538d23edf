#ifndef PROCESS_ACCOUNTS_IO_TOKEN_EXCHANGE_H_
#define PROCESS_ACCOUNTS_IO_TOKEN_EXCHANGE_H_

#include <functional>

#include "process/accounts/pending_token_requests.h"
#include "process/accounts/token_source.h"
#include "process/accounts/usage_table.h"
#include "process/clock.h"
#include "process/fleet/fleet_table.h"
#include "process/peers/peer_transport.h"

namespace mangodoor {

/** Asks for tokens of client accounts over the links, and answers for them. */
class TokenExchange : public TokenLender {
 public:
  TokenExchange(UsageTable& usage,
                const FleetTable& fleet,
                PeerTransport& peers,
                const Clock& clock);

  void Ask(const ClientAccountId& account,
           std::function<void(bool)> done) override;

  /** Answers an instance that asks this one, its lead or another lead. */
  void Answer(const InstanceId& from, const TokenRequest& ask);

  void TakeReply(const TokenReply& reply);

  /** Asks other leads for accounts whose pools run low. */
  void FillUpPools(const FleetView& view);

  /** Ends questions that were not answered in time. */
  void EndOverdue();

 private:
  void FillUpPool(const ClientAccountId& account, const FleetView& view);

  UsageTable& usage_;
  const FleetTable& fleet_;
  PeerTransport& peers_;
  const Clock& clock_;
  TokenAsks asks_;
};

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_IO_TOKEN_EXCHANGE_H_
