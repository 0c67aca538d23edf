#ifndef PROCESS_ACCOUNTS_ACCOUNT_LIMITER_H_
#define PROCESS_ACCOUNTS_ACCOUNT_LIMITER_H_

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "process/accounts/account_actions.h"
#include "process/accounts/account_state.h"
#include "process/accounts/injected_limit_faults.h"
#include "process/accounts/share.h"
#include "process/peers/peer_message.h"
#include "version/version.h"

namespace mangodoor {

/**
 * After a longer gap between two readings of the clock, tokens and borrowed
 * leases are discarded, see RestartAccount.
 */
constexpr Duration kMaxClockGap = std::chrono::milliseconds(500);

/** The state of this instance's rate limiter for all client accounts. */
struct AccountLimiter {
  std::unordered_map<ClientAccountId, AccountState> accounts;
  /** Number of the version in force. */
  uint64_t version = 0;
  ShareState share_state;
  bool started = false;
  TimePoint last_clock_check{};
  /** Time of the next ReviewRates of all accounts. */
  TimePoint next_review{};
  std::chrono::milliseconds admission_wait{50};
  bool lending_enabled = true;
  bool fenced = false;
  TimePoint fenced_since{};
  uint64_t next_ticket = 1;
  /** Name of the next lease; its first value is random, see SeedLeaseNames. */
  uint64_t next_lease_name = 0;
  /** Bounds the lease requests and releases sent for all accounts. */
  TokenBucket message_budget;
  /** Bounds the replies to lease requests. */
  TokenBucket reply_budget;
  InjectedLimitFaults faults;
};

/** Result of Admit. */
struct AdmissionDecision {
  enum class State { kAdmitted, kWaiting, kRefused };
  State state = State::kRefused;
  ErrorKind error = ErrorKind::kRateExceeded;
  uint64_t ticket = 0;
};

// The functions of account_table.h without the lock. They append to `actions`
// the callbacks to run and the messages to send once the lock is released.

void AdoptVersion(AccountLimiter& limiter,
                  const Version& version,
                  const Endpoint& own_address,
                  TimePoint now);

AdmissionDecision Admit(AccountLimiter& limiter,
                        const ClientAccountId& id,
                        TimePoint now,
                        TimePoint deadline,
                        AdmissionCallback done,
                        AccountActions& actions);

void Cancel(AccountLimiter& limiter,
            const ClientAccountId& id,
            uint64_t ticket);

void HandleMessage(AccountLimiter& limiter,
                   const InstanceId& from,
                   const PeerMessage& message,
                   TimePoint now,
                   AccountActions& actions);

void Tick(AccountLimiter& limiter, TimePoint now, AccountActions& actions);

void ForgetPeer(AccountLimiter& limiter, const InstanceId& peer);

/**
 * Spare tokens of each client account at its last update; empty while nothing
 * can be lent.
 */
std::vector<AccountSpareTokens> ListSpareTokens(const AccountLimiter& limiter,
                                                TimePoint now);

/**
 * Sets whether this instance is fenced, because it lacks a fresh configuration.
 * While fenced, it lends nothing.
 */
void SetFenced(AccountLimiter& limiter, bool fenced, TimePoint now);

/**
 * Records that a peer has used the entry addresses of `version` for
 * `unchanged_for`; ignored if another version is in force here.
 */
void ConfirmVersion(AccountLimiter& limiter,
                    uint64_t version,
                    Duration unchanged_for,
                    TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ACCOUNT_LIMITER_H_
