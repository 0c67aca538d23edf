#include "process/accounts/io/token_exchange.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "process/random_value.h"

namespace mangodoor {

TokenExchange::TokenExchange(UsageTable& usage,
                             const FleetTable& fleet,
                             PeerTransport& peers,
                             const Clock& clock)
    : usage_(usage), fleet_(fleet), peers_(peers), clock_(clock) {}

void TokenExchange::RequestToken(const ClientAccountId& account,
                                 std::function<void(bool)> done) {
  const FleetViewPtr view = ViewFleet(fleet_);
  // The instance of rank 0 is the leader.
  const auto leader = std::find_if(
      view->local_peers.begin(), view->local_peers.end(),
      [](const auto& local_peer) { return local_peer.second == 0; });
  if (leader == view->local_peers.end())
    return done(false);
  const uint64_t id = AddTokenRequest(
      pending_requests_,
      [done = std::move(done)](int tokens) { done(tokens > 0); }, clock_.Now());
  peers_.Send(leader->first, TokenRequest{id, account});
}

void TokenExchange::HandleTokenRequest(const InstanceId& from,
                                       const TokenRequest& token_request) {
  const TimePoint now = clock_.Now();
  const FleetViewPtr view = ViewFleet(fleet_);
  const bool is_local = view->local_peers.count(from) > 0;
  int granted = 0;
  {
    OrderedLock lock(usage_.mutex);
    granted =
        is_local ? static_cast<int>(LendToken(
                       usage_.limiter, token_request.client_account, now))
                 : TakeSpareTokens(usage_.limiter, token_request.client_account,
                                   token_request.tokens, now);
  }
  peers_.Send(from, TokenReply{token_request.id, granted});
  if (is_local)
    RefillPool(token_request.client_account, *view);
}

void TokenExchange::HandleTokenReply(const TokenReply& reply) {
  if (const auto done = TakeTokenRequest(pending_requests_, reply.id))
    done(reply.granted);
}

void TokenExchange::RefillPools(const FleetView& view) {
  if (view.rank > 0 || view.remote_peers.empty())
    return;
  std::vector<ClientAccountId> accounts;
  {
    OrderedLock lock(usage_.mutex);
    for (const auto& [account, state] : usage_.limiter.accounts)
      accounts.push_back(account);
  }
  for (const ClientAccountId& account : accounts)
    RefillPool(account, view);
}

void TokenExchange::RefillPool(const ClientAccountId& account,
                               const FleetView& view) {
  const TimePoint now = clock_.Now();
  int wanted = 0;
  {
    OrderedLock lock(usage_.mutex);
    wanted = TokensToRequest(usage_.limiter, account, now);
  }
  if (wanted == 0 || view.remote_peers.empty())
    return;
  const uint64_t id = AddTokenRequest(
      pending_requests_,
      [this, account](int tokens) {
        OrderedLock lock(usage_.mutex);
        AddToPool(usage_.limiter, account, tokens);
      },
      now);
  peers_.Send(view.remote_peers[RandomValue() % view.remote_peers.size()],
              TokenRequest{id, account, wanted});
}

void TokenExchange::ExpireRequests() {
  for (const auto& done :
       TakeExpiredTokenRequests(pending_requests_, clock_.Now()))
    done(0);
}

}  // namespace mangodoor
