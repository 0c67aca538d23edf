#include "process/accounts/account_limiter.h"

#include <algorithm>
#include <utility>

#include "process/accounts/account_messages.h"
#include "process/accounts/lease_policy.h"

namespace mangodoor {
namespace {

// Interval at which ReviewRates decides on rate leases.
constexpr Duration kReviewInterval = std::chrono::milliseconds(100);

constexpr uint64_t kLeaseNameMask = ~uint64_t{0} >> kExtensionBits;

void StartLimiter(AccountLimiter& limiter, TimePoint now) {
  limiter.started = true;
  limiter.last_clock_check = now;
  limiter.next_review = now;
  limiter.share_state = MakeShareState(now, limiter.faults);
  // Without a random first name, the start time makes the names of successive
  // processes differ.
  if (limiter.next_lease_name == 0) {
    limiter.next_lease_name =
        static_cast<uint64_t>(now.time_since_epoch().count());
  }
  limiter.next_lease_name &= kLeaseNameMask;
  RefillBudgets(limiter, now);
}

/** Injected fault: leases last as if the clock had stopped during the pause. */
void ExtendLeasesOverPause(AccountLimiter& limiter, Duration pause) {
  for (auto& [id, account] : limiter.accounts) {
    for (BorrowedLease& lease : account.leases.borrowed)
      lease.until += pause;
  }
}

void ResumeAfterPause(AccountLimiter& limiter, Duration pause, TimePoint now) {
  if (limiter.faults.pause_is_not_noticed) {
    ExtendLeasesOverPause(limiter, pause);
    return;
  }
  for (auto& [id, account] : limiter.accounts)
    RestartAccount(account, now);
  if (pause > kShareOverlap)
    MarkEarlierSharesUnknown(limiter.share_state, now);
}

/**
 * Returns the time to use for `now` and resets the state after a pause. Called
 * first by every function that takes a time and changes the state. Threads can
 * take the lock in another order than they read the clock, so `now` can be
 * earlier than in the call before; the result is never earlier.
 */
TimePoint AdvanceClock(AccountLimiter& limiter, TimePoint now) {
  if (!limiter.started)
    StartLimiter(limiter, now);
  now = std::max(now, limiter.last_clock_check);
  const Duration gap = now - limiter.last_clock_check;
  if (gap > kMaxClockGap)
    ResumeAfterPause(limiter, gap, now);
  limiter.last_clock_check = now;
  return now;
}

void AdvanceAccount(AccountLimiter& limiter,
                    AccountState& account,
                    TimePoint now) {
  Advance(account, DivisorInForce(limiter.share_state, now), now,
          limiter.faults);
}

AccountState NewAccount(TimePoint now) {
  AccountState account;
  account.bucket.refilled_at = now;
  account.demand.updated = now;
  account.rate_lent_at = now;
  account.message_budget.tokens = 10 * kMicroTokensPerToken;
  account.message_budget.refilled_at = now;
  return account;
}

/**
 * Erases accounts that a version dropped, once their granted leases have ended
 * and no request waits.
 */
void DropUnusedAccounts(AccountLimiter& limiter) {
  for (auto entry = limiter.accounts.begin();
       entry != limiter.accounts.end();) {
    const AccountState& account = entry->second;
    const bool unused = account.fleet_limit == RateAndBurst{} &&
                        account.leases.granted.empty() &&
                        account.queue.waiting.empty();
    entry = unused ? limiter.accounts.erase(entry) : std::next(entry);
  }
}

AccountState* FindAccount(AccountLimiter& limiter, const ClientAccountId& id) {
  const auto found = limiter.accounts.find(id);
  return found == limiter.accounts.end() ? nullptr : &found->second;
}

AdmissionDecision Refuse(AccountState& account, ErrorKind error) {
  ++account.refused;
  return {AdmissionDecision::State::kRefused, error, 0};
}

AdmissionDecision EnqueueOrRefuse(AccountLimiter& limiter,
                                  AccountState& account,
                                  TimePoint now,
                                  TimePoint deadline,
                                  AdmissionCallback done) {
  const TimePoint wait_end = now + limiter.admission_wait;
  const bool limited_by_deadline = deadline <= wait_end;
  WaitingRequest request{limiter.next_ticket, std::min(wait_end, deadline),
                         limited_by_deadline ? ErrorKind::kDeadlineExceeded
                                             : ErrorKind::kRateExceeded,
                         std::move(done)};
  if (wait_end <= now || !Enqueue(account.queue, std::move(request)))
    return Refuse(account, ErrorKind::kRateExceeded);
  return {AdmissionDecision::State::kWaiting, ErrorKind::kRateExceeded,
          limiter.next_ticket++};
}

void HandleHeartbeat(AccountLimiter& limiter,
                     const InstanceId& from,
                     const Heartbeat& heartbeat,
                     TimePoint now) {
  if (heartbeat.state != InstanceState::kServing) {
    ForgetPeer(limiter, from);
    return;
  }
  std::unordered_map<ClientAccountId, MicroTokens> spare;
  for (const AccountSpareTokens& entry : heartbeat.spare)
    spare[entry.client_account] = entry.tokens;
  for (auto& [id, account] : limiter.accounts) {
    const auto found = spare.find(id);
    RecordReportedSpare(account.peers[from],
                        found == spare.end() ? 0 : found->second, now);
  }
}

/**
 * Finds the account whose leases match. A release contains only a lease id, and
 * the account that a grant states is not relied on.
 */
template <typename Predicate>
std::pair<const ClientAccountId, AccountState>* FindByLease(
    AccountLimiter& limiter,
    Predicate matches) {
  const auto found =
      std::find_if(limiter.accounts.begin(), limiter.accounts.end(),
                   [&](auto& entry) { return matches(entry.second.leases); });
  return found == limiter.accounts.end() ? nullptr : &*found;
}

void HandleGrant(AccountLimiter& limiter,
                 const InstanceId& from,
                 const CapacityLease& granted,
                 TimePoint now,
                 AccountActions& actions) {
  auto* entry = FindByLease(limiter, [&](const AccountLeases& leases) {
    return IsPending(leases, granted.id);
  });
  if (entry == nullptr)
    return;
  auto& [id, account] = *entry;
  AdvanceAccount(limiter, account, now);
  HandleLeaseGrant(limiter, account, from, granted, now);
  ServeWaiting(account, now, limiter.faults, actions);
  BalanceTokens(limiter, id, account, now, actions);
}

void HandleRelease(AccountLimiter& limiter,
                   const InstanceId& from,
                   uint64_t lease_id,
                   TimePoint now) {
  auto* entry = FindByLease(limiter, [&](AccountLeases& leases) {
    return FindGranted(leases, from, lease_id) != nullptr;
  });
  if (entry == nullptr)
    return;
  AdvanceAccount(limiter, entry->second, now);
  RemoveReleased(entry->second.leases, from, lease_id);
}

}  // namespace

void AdoptVersion(AccountLimiter& limiter,
                  const Version& version,
                  const Endpoint& own_address,
                  TimePoint now) {
  now = AdvanceClock(limiter, now);
  for (auto& [id, account] : limiter.accounts)
    AdvanceAccount(limiter, account, now);
  AdoptEntryAddresses(limiter.share_state, version.entry_addresses, own_address,
                      now, limiter.faults);
  limiter.version = version.document.version;
  limiter.admission_wait = version.document.admission_wait;
  const int64_t divisor = DivisorInForce(limiter.share_state, now);
  for (auto& [id, account] : limiter.accounts) {
    if (version.accounts_by_id.count(id) == 0)
      SetFleetLimit(account, {}, divisor, limiter.faults);
  }
  const auto peers = static_cast<int64_t>(version.entry_addresses.size());
  for (const ClientAccount& client : version.document.client_accounts) {
    AccountState& account =
        limiter.accounts.try_emplace(client.id, NewAccount(now)).first->second;
    SetFleetLimit(account, FleetLimit(client), divisor, limiter.faults);
    account.peer_share = ShareOf(account.fleet_limit, peers);
    account.pool_rank =
        PoolRank(client.id, version.entry_addresses, own_address);
  }
}

AdmissionDecision Admit(AccountLimiter& limiter,
                        const ClientAccountId& id,
                        TimePoint now,
                        TimePoint deadline,
                        AdmissionCallback done,
                        AccountActions& actions) {
  now = AdvanceClock(limiter, now);
  AccountState* account = FindAccount(limiter, id);
  if (account == nullptr)
    return {};
  AdvanceAccount(limiter, *account, now);
  ++account->demand.offered;
  if (deadline <= now)
    return Refuse(*account, ErrorKind::kDeadlineExceeded);
  ServeWaiting(*account, now, limiter.faults, actions);
  if (account->queue.waiting.empty() && TakeToken(account->bucket)) {
    ++account->admitted;
    BalanceTokens(limiter, id, *account, now, actions);
    return {AdmissionDecision::State::kAdmitted, ErrorKind::kRateExceeded, 0};
  }
  const AdmissionDecision decision =
      EnqueueOrRefuse(limiter, *account, now, deadline, std::move(done));
  BalanceTokens(limiter, id, *account, now, actions);
  return decision;
}

void Cancel(AccountLimiter& limiter,
            const ClientAccountId& id,
            uint64_t ticket) {
  AccountState* account = FindAccount(limiter, id);
  if (account != nullptr)
    Withdraw(account->queue, ticket);
}

void HandleMessage(AccountLimiter& limiter,
                   const InstanceId& from,
                   const PeerMessage& message,
                   TimePoint now,
                   AccountActions& actions) {
  now = AdvanceClock(limiter, now);
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    HandleHeartbeat(limiter, from, *heartbeat, now);
  } else if (const auto* request = std::get_if<LeaseRequest>(&message)) {
    AccountState* account =
        FindAccount(limiter, request->wanted.client_account);
    if (account == nullptr)
      return;
    AdvanceAccount(limiter, *account, now);
    ServeWaiting(*account, now, limiter.faults, actions);
    HandleLeaseRequest(limiter, *account, from, request->wanted, now, actions);
  } else if (const auto* grant = std::get_if<LeaseGrant>(&message)) {
    HandleGrant(limiter, from, grant->granted, now, actions);
  } else if (const auto* release = std::get_if<LeaseRelease>(&message)) {
    HandleRelease(limiter, from, release->lease_id, now);
  }
}

void Tick(AccountLimiter& limiter, TimePoint now, AccountActions& actions) {
  now = AdvanceClock(limiter, now);
  RefillBudgets(limiter, now);
  const bool review = now >= limiter.next_review;
  if (review)
    limiter.next_review = now + kReviewInterval;
  for (auto& [id, account] : limiter.accounts) {
    AdvanceAccount(limiter, account, now);
    ServeWaiting(account, now, limiter.faults, actions);
    if (review)
      ReviewRates(limiter, id, account, now, actions);
    BalanceTokens(limiter, id, account, now, actions);
  }
  if (review)
    DropUnusedAccounts(limiter);
}

void ForgetPeer(AccountLimiter& limiter, const InstanceId& peer) {
  for (auto& [id, account] : limiter.accounts) {
    account.peers.erase(peer);
    std::vector<PendingLeaseRequest>& pending = account.leases.pending;
    pending.erase(std::remove_if(pending.begin(), pending.end(),
                                 [&](const PendingLeaseRequest& request) {
                                   return request.to == peer;
                                 }),
                  pending.end());
  }
}

std::vector<AccountSpareTokens> ListSpareTokens(const AccountLimiter& limiter,
                                                TimePoint now) {
  std::vector<AccountSpareTokens> spare;
  if (!limiter.lending_enabled || limiter.fenced ||
      now - limiter.last_clock_check > kMaxClockGap)
    return spare;
  for (const auto& [id, account] : limiter.accounts) {
    const MicroTokens tokens =
        SpareTokens(account, now + kTokenLeaseDuration + kLeaseMargin);
    if (tokens > 0)
      spare.push_back({id, tokens});
  }
  return spare;
}

void SetFenced(AccountLimiter& limiter, bool fenced, TimePoint now) {
  now = AdvanceClock(limiter, now);
  if (fenced && !limiter.fenced)
    limiter.fenced_since = now;
  // While fenced for long, as in a long pause, this instance may have missed
  // versions that changed the shares and changed them back.
  if (!fenced && limiter.fenced && now - limiter.fenced_since > kShareOverlap)
    MarkEarlierSharesUnknown(limiter.share_state, now);
  limiter.fenced = fenced;
}

void ConfirmVersion(AccountLimiter& limiter,
                    uint64_t version,
                    Duration unchanged_for,
                    TimePoint now) {
  now = AdvanceClock(limiter, now);
  if (version == limiter.version)
    ConfirmEntryAddresses(limiter.share_state, unchanged_for, now);
}

}  // namespace mangodoor
