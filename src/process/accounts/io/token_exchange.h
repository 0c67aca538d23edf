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
class TokenExchange : public TokenSource {
 public:
  TokenExchange(UsageTable& usage,
                const FleetTable& fleet,
                PeerTransport& peers,
                const Clock& clock);

  void RequestToken(const ClientAccountId& account,
                    std::function<void(bool)> done) override;

  /** Answers an instance that asks this one, its lead or another lead. */
  void HandleTokenRequest(const InstanceId& from,
                          const TokenRequest& token_request);

  void HandleTokenReply(const TokenReply& reply);

  /** Asks other leads for accounts whose pools run low. */
  void RefillPools(const FleetView& view);

  /** Ends questions that were not answered in time. */
  void ExpireRequests();

 private:
  void RefillPool(const ClientAccountId& account, const FleetView& view);

  UsageTable& usage_;
  const FleetTable& fleet_;
  PeerTransport& peers_;
  const Clock& clock_;
  PendingTokenRequests pending_requests_;
};

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_IO_TOKEN_EXCHANGE_H_
