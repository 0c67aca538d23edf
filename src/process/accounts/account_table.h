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

/** The limiter for the client accounts of the version in force. */
struct AccountTable {
  mutable OrderedMutex mutex{LockRank::kAccount};
  AccountLimiter limiter;
};

/** Result of RequestAdmission. */
struct AdmissionReply {
  enum class State { kAdmitted, kWaiting, kRefused };
  State state = State::kRefused;
  /** Set when refused. */
  ErrorKind error = ErrorKind::kRateExceeded;
  /** Identifies a waiting request, for CancelAdmission. */
  uint64_t ticket = 0;
  AccountActions actions;
};

/** Applies the accounts, rates, bursts and entry addresses of a version. */
void ApplyVersion(AccountTable& table,
                  const Version& version,
                  const Endpoint& own_address,
                  TimePoint now);

/**
 * Requests one token for a request of `account`. `done` is called later if and
 * only if the reply's state is kWaiting and the request is not withdrawn.
 */
AdmissionReply RequestAdmission(AccountTable& table,
                                const ClientAccountId& account,
                                TimePoint now,
                                TimePoint deadline,
                                AdmissionCallback done);

/** Withdraws a waiting request, so that its callback is never called. */
void CancelAdmission(AccountTable& table,
                     const ClientAccountId& account,
                     uint64_t ticket);

/**
 * Handles LeaseRequest, LeaseGrant, LeaseRelease, and the spare tokens of a
 * Heartbeat from a peer.
 */
AccountActions HandleAccountMessage(AccountTable& table,
                                    const InstanceId& from,
                                    const PeerMessage& message,
                                    TimePoint now);

/** Drops what is known of a peer that is no longer reachable. */
void ForgetPeer(AccountTable& table, const InstanceId& peer);

/** Spare tokens of each client account, for the next heartbeat. */
std::vector<AccountSpareTokens> ListSpareTokens(const AccountTable& table,
                                                TimePoint now);

/** Stops granting and extending leases; granted leases stay until they end. */
void StopLending(AccountTable& table);

/**
 * While fenced, nothing is lent: without a fresh configuration, this instance
 * could lend from its old share after kShareOverlap has ended elsewhere.
 */
void SetFenced(AccountTable& table, bool fenced, TimePoint now);

/**
 * Sets the name of the first lease to a random value. Successive processes with
 * the same instance id must use different names, so that a late release by the
 * first cannot end a lease of the second. Call this before the first version is
 * applied.
 */
void SeedLeaseNames(AccountTable& table, uint64_t random_value);

/**
 * How long this instance has used the same entry addresses. Heartbeats report
 * it to peers, which call ConfirmEntryAddresses.
 */
Duration EntryAddressesAge(const AccountTable& table, TimePoint now);

/**
 * Records that a peer has used the entry addresses of `version` for
 * `unchanged_for`. Without such a confirmation a process has no share in the
 * first 10 s after its start, because other instances may still use shares of
 * an earlier version.
 */
void ConfirmEntryAddresses(AccountTable& table,
                           uint64_t version,
                           Duration unchanged_for,
                           TimePoint now);

/**
 * True if this instance may use its share, or has none because its address is
 * not an entry address. False for up to 10 s after a start, after its address
 * became an entry address, or after a pause or fencing of more than 10 s.
 */
bool CanUseShare(const AccountTable& table, TimePoint now);

std::vector<AccountStatus> AccountStatuses(const AccountTable& table,
                                           TimePoint now);

/**
 * Refills buckets, ends leases, decides waiting requests and requests leases.
 * Called every 10 ms.
 */
AccountActions TickAccounts(AccountTable& table, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_ACCOUNT_TABLE_H_
