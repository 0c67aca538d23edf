#ifndef PROCESS_ACCOUNTS_ACCOUNT_MESSAGES_H_
#define PROCESS_ACCOUNTS_ACCOUNT_MESSAGES_H_

#include "process/accounts/account_limiter.h"

namespace mangodoor {

// The part of the limiter that sends and handles lease messages. The caller
// must have called Advance() on the account with the same `now`.

/** Requests tokens for waiting requests; releases leases no longer needed. */
void BalanceTokens(AccountLimiter& limiter,
                   const ClientAccountId& id,
                   AccountState& account,
                   TimePoint now,
                   AccountActions& actions);

/** Updates the demand; extends, releases and requests leases of rate. */
void ReviewRates(AccountLimiter& limiter,
                 const ClientAccountId& id,
                 AccountState& account,
                 TimePoint now,
                 AccountActions& actions);

void HandleLeaseRequest(AccountLimiter& limiter,
                        AccountState& account,
                        const InstanceId& from,
                        const CapacityLease& wanted,
                        TimePoint now,
                        AccountActions& actions);

/**
 * Applies a grant; false if this account has no pending request for it, or if
 * the grant is invalid or too late.
 */
bool HandleLeaseGrant(AccountLimiter& limiter,
                      AccountState& account,
                      const InstanceId& from,
                      const CapacityLease& granted,
                      TimePoint now);

/** Refills the message budgets. */
void RefillBudgets(AccountLimiter& limiter, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ACCOUNT_MESSAGES_H_
