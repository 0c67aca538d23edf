#ifndef PROCESS_ACCOUNTS_ACCOUNT_MESSAGES_H_
#define PROCESS_ACCOUNTS_ACCOUNT_MESSAGES_H_

#include "process/accounts/account_limiter.h"

namespace mangodoor {

// Steps of account_limiter.cc that send or receive lease messages. The account
// has been advanced to `now`.

/** Requests tokens for what waits, and releases what is used up. */
void BalanceTokens(AccountBook& book,
                   const ClientAccountId& id,
                   AccountState& account,
                   TimePoint now,
                   AccountActions& actions);

/** Extends, releases and requests rate for the demand that lasts. */
void ReviewRates(AccountBook& book,
                 const ClientAccountId& id,
                 AccountState& account,
                 TimePoint now,
                 AccountActions& actions);

void HandleLeaseRequest(AccountBook& book,
                        AccountState& account,
                        const InstanceId& from,
                        const CapacityLease& wanted,
                        TimePoint now,
                        AccountActions& actions);

/** True if the grant answers a request of this account. */
bool HandleLeaseGrant(AccountBook& book,
                      AccountState& account,
                      const InstanceId& from,
                      const CapacityLease& granted,
                      TimePoint now);

/** Refills the budgets of messages. */
void RefillBudgets(AccountBook& book, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ACCOUNT_MESSAGES_H_
