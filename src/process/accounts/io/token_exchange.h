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

/**
 * Requests tokens of client accounts from peers, and handles the requests of
 * peers.
 */
class TokenExchange : public TokenSource {
 public:
  TokenExchange(UsageTable& usage,
                const FleetTable& fleet,
                PeerTransport& peers,
                const Clock& clock);

  void RequestToken(const ClientAccountId& account,
                    std::function<void(bool)> done) override;

  /**
   * At the leader: replies to an instance of its data centre or to another
   * leader.
   */
  void HandleTokenRequest(const InstanceId& from,
                          const TokenRequest& token_request);

  void HandleTokenReply(const TokenReply& reply);

  /** At the leader: requests tokens for pools that run low. */
  void RefillPools(const FleetView& view);

  /** Ends the requests that have timed out, as if no token was granted. */
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
