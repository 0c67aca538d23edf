#ifndef PROCESS_ACCOUNTS_ACCOUNT_MESSAGES_H_
#define PROCESS_ACCOUNTS_ACCOUNT_MESSAGES_H_

#include "process/accounts/account_limiter.h"

namespace mangodoor {

// Steps of account_limiter.cc that send or receive lease messages. The account
// has been advanced to `now`.

/** Requests tokens for what waits, and releases what is used up. */
void BalanceTokens(AccountLimiter& limiter,
                   const ClientAccountId& id,
                   AccountState& account,
                   TimePoint now,
                   AccountActions& actions);

/** Extends, releases and requests rate for the demand that lasts. */
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

/** True if the grant answers a request of this account. */
bool HandleLeaseGrant(AccountLimiter& limiter,
                      AccountState& account,
                      const InstanceId& from,
                      const CapacityLease& granted,
                      TimePoint now);

/** Refills the budgets of messages. */
void RefillBudgets(AccountLimiter& limiter, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ACCOUNT_MESSAGES_H_
