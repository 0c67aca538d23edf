#include "process/accounts/usage_table.h"

#include <cmath>

namespace mangodoor {
namespace {

MicroTokens ToMicroTokens(double tokens) {
  return std::llround(tokens * kMicroTokensPerToken);
}

}  // namespace

std::vector<AccountStatus> AccountStatuses(const UsageTable& table,
                                           TimePoint now) {
  OrderedLock lock(table.mutex);
  std::vector<AccountStatus> statuses;
  for (const auto& [id, state] : table.limiter.accounts) {
    const double share = OwnShare(table.limiter, state, now);
    AccountStatus status;
    status.client_account = id;
    status.tokens = ToMicroTokens(state.tokens);
    status.rate_per_s = ToMicroTokens(state.rate_per_s * share);
    status.burst = ToMicroTokens(state.burst * share);
    status.admitted = state.admitted;
    status.refused = state.refused;
    statuses.push_back(std::move(status));
  }
  return statuses;
}

}  // namespace mangodoor
