#ifndef PROCESS_ACCOUNTS_ACCOUNT_TABLE_H_
#define PROCESS_ACCOUNTS_ACCOUNT_TABLE_H_

#include <cstdint>
#include <vector>

#include "process/accounts/account_actions.h"
#include "process/accounts/account_limiter.h"
#include "process/clock.h"
#include "process/error_kind.h"
#include "process/ordered_mutex.h"
#include "process/peers/peer_message.h"
#include "process/status/status.h"
#include "version/version.h"

namespace mangodoor {

/** All client accounts of the version in force. */
struct AccountTable {
  mutable OrderedMutex mutex{LockRank::kAccount};
  AccountLimiter limiter;
};

/** Answer to a request for a token. */
struct AdmissionReply {
  enum class State { kAdmitted, kWaiting, kRefused };
  State state = State::kRefused;
  /** Set when refused. */
  ErrorKind error = ErrorKind::kRateExceeded;
  /** Names a waiting request, for CancelAdmission. */
  uint64_t ticket = 0;
  AccountActions actions;
};

/** Adopts the accounts, rates and entry addresses of a version. */
void ApplyVersion(AccountTable& table,
                  const Version& version,
                  const Endpoint& own_address,
                  TimePoint now);

/**
 * Asks for one token. `done` is called later if and only if the reply says
 * waiting.
 */
AdmissionReply RequestAdmission(AccountTable& table,
                                const ClientAccountId& account,
                                TimePoint now,
                                TimePoint deadline,
                                AdmissionCallback done);

/** Withdraws a waiting request; its callback is not called after this. */
void CancelAdmission(AccountTable& table,
                     const ClientAccountId& account,
                     uint64_t ticket);

/**
 * Handles LeaseRequest, LeaseGrant, LeaseRelease, and the spare shares of a
 * Heartbeat from a peer.
 */
AccountActions HandleAccountMessage(AccountTable& table,
                                    const InstanceId& from,
                                    const PeerMessage& message,
                                    TimePoint now);

/** Forgets a peer that is no longer reachable. */
void ForgetPeer(AccountTable& table, const InstanceId& peer);

/** Spare shares for the next heartbeat. */
std::vector<SpareShare> SpareShares(const AccountTable& table, TimePoint now);

/** Stops lending; leases already granted go on to their end. */
void StopLending(AccountTable& table);

/**
 * While fenced, nothing is lent: a lease from an instance without a fresh
 * configuration could outlive the overlap of two shares.
 */
void SetFenced(AccountTable& table, bool fenced, TimePoint now);

/**
 * Sets the first lease name to a random value. Names must differ between
 * processes that use one instance id after each other, because a late release
 * by the first must not end a lease of the second. To be called before the
 * first version is applied.
 */
void SeedLeaseNames(AccountTable& table, uint64_t random_value);

/**
 * Time for which the entry addresses have been the same here, for peers that
 * call ConfirmEntryAddresses.
 */
Duration EntryAddressesAge(const AccountTable& table, TimePoint now);

/**
 * Notes that a peer has used the entry addresses of `version` for
 * `unchanged_for`. Without it a process that starts has no share for 10 s,
 * because other instances may still use shares of an earlier version.
 */
void ConfirmEntryAddresses(AccountTable& table,
                           uint64_t version,
                           Duration unchanged_for,
                           TimePoint now);

/**
 * True if this instance uses its share, or has none because its address is not
 * an entry address. False for a while after a start.
 */
bool ShareInUse(const AccountTable& table, TimePoint now);

std::vector<AccountStatus> AccountStatuses(const AccountTable& table,
                                           TimePoint now);

/** Refills, ends leases and waits, asks for leases. Called every 10 ms. */
AccountActions TickAccounts(AccountTable& table, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ACCOUNT_TABLE_H_
