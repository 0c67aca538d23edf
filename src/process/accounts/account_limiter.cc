#include "process/accounts/account_limiter.h"

#include <algorithm>
#include <utility>

#include "process/accounts/account_messages.h"
#include "process/accounts/lease_policy.h"

namespace mangodoor {
namespace {

// Interval of the decisions on lasting demand.
constexpr Duration kReviewInterval = std::chrono::milliseconds(100);

constexpr uint64_t kLeaseNameMask = ~uint64_t{0} >> kExtensionBits;

void Start(AccountBook& book, TimePoint now) {
  book.started = true;
  book.last_clock_check = now;
  book.next_review = now;
  book.share_rule = StartShareRule(now, book.faults);
  // Without a random name, the time keeps names of processes apart.
  if (book.next_lease_name == 0) {
    book.next_lease_name =
        static_cast<uint64_t>(now.time_since_epoch().count());
  }
  book.next_lease_name &= kLeaseNameMask;
  RefillBudgets(book, now);
}

/** As if the clock did not count the time of the pause. */
void ProlongLeases(AccountBook& book, Duration pause) {
  for (auto& [id, account] : book.accounts) {
    for (TakenLease& lease : account.leases.taken)
      lease.until += pause;
  }
}

void ResumeAfterPause(AccountBook& book, Duration pause, TimePoint now) {
  if (book.faults.pause_is_not_noticed) {
    ProlongLeases(book, pause);
    return;
  }
  for (auto& [id, account] : book.accounts)
    RestartAccount(account, now);
  if (pause > kShareOverlap)
    ForgetEarlierShares(book.share_rule, now);
}

/**
 * Every use of the clock passes here. Threads may come in another order than
 * they read the clock, so time does not go back.
 */
TimePoint Look(AccountBook& book, TimePoint now) {
  if (!book.started)
    Start(book, now);
  now = std::max(now, book.last_clock_check);
  const Duration gap = now - book.last_clock_check;
  if (gap > kLongestGap)
    ResumeAfterPause(book, gap, now);
  book.last_clock_check = now;
  return now;
}

void AdvanceOne(AccountBook& book, AccountState& account, TimePoint now) {
  Advance(account, DivisorInForce(book.share_rule, now), now, book.faults);
}

AccountState NewAccount(TimePoint now) {
  AccountState account;
  account.bucket.minted_until = now;
  account.demand.updated = now;
  account.rate_lent_at = now;
  account.message_budget.tokens = 10 * kMicroTokensPerToken;
  account.message_budget.minted_until = now;
  return account;
}

/** Accounts that a version dropped stay until their leases have ended. */
void DropUnusedAccounts(AccountBook& book) {
  for (auto entry = book.accounts.begin(); entry != book.accounts.end();) {
    const AccountState& account = entry->second;
    const bool unused = account.fleet == Share{} &&
                        account.leases.given.empty() &&
                        account.queue.waiting.empty();
    entry = unused ? book.accounts.erase(entry) : std::next(entry);
  }
}

AccountState* Find(AccountBook& book, const ClientAccountId& id) {
  const auto found = book.accounts.find(id);
  return found == book.accounts.end() ? nullptr : &found->second;
}

AdmissionDecision Refuse(AccountState& account, ErrorKind error) {
  ++account.refused;
  return {AdmissionDecision::State::kRefused, error, 0};
}

AdmissionDecision Wait(AccountBook& book,
                       AccountState& account,
                       TimePoint now,
                       TimePoint deadline,
                       AdmissionCallback done) {
  const TimePoint wait_end = now + book.admission_wait;
  const bool limited_by_deadline = deadline <= wait_end;
  WaitingRequest request{book.next_ticket, std::min(wait_end, deadline),
                         limited_by_deadline ? ErrorKind::kDeadlineExceeded
                                             : ErrorKind::kRateExceeded,
                         std::move(done)};
  if (wait_end <= now || !Enqueue(account.queue, std::move(request)))
    return Refuse(account, ErrorKind::kRateExceeded);
  return {AdmissionDecision::State::kWaiting, ErrorKind::kRateExceeded,
          book.next_ticket++};
}

void HandleHeartbeat(AccountBook& book,
                     const InstanceId& from,
                     const Heartbeat& heartbeat,
                     TimePoint now) {
  if (heartbeat.state != InstanceState::kServing) {
    ForgetPeer(book, from);
    return;
  }
  std::unordered_map<ClientAccountId, MicroTokens> spare;
  for (const SpareShare& share : heartbeat.spare)
    spare[share.client_account] = share.tokens;
  for (auto& [id, account] : book.accounts) {
    const auto found = spare.find(id);
    NoteReported(account.peers[from], found == spare.end() ? 0 : found->second,
                 now);
  }
}

/** Neither a grant nor a release needs to name its client account. */
template <typename Concerns>
std::pair<const ClientAccountId, AccountState>* FindByLease(AccountBook& book,
                                                            Concerns concerns) {
  const auto found =
      std::find_if(book.accounts.begin(), book.accounts.end(),
                   [&](auto& entry) { return concerns(entry.second.leases); });
  return found == book.accounts.end() ? nullptr : &*found;
}

void HandleGrant(AccountBook& book,
                 const InstanceId& from,
                 const CapacityLease& granted,
                 TimePoint now,
                 AccountActions& actions) {
  auto* entry = FindByLease(book, [&](const LeaseBook& leases) {
    return IsPending(leases, granted.id);
  });
  if (entry == nullptr)
    return;
  auto& [id, account] = *entry;
  AdvanceOne(book, account, now);
  HandleLeaseGrant(book, account, from, granted, now);
  ServeWaiting(account, now, book.faults, actions);
  BalanceTokens(book, id, account, now, actions);
}

void HandleRelease(AccountBook& book,
                   const InstanceId& from,
                   uint64_t lease_id,
                   TimePoint now) {
  auto* entry = FindByLease(book, [&](LeaseBook& leases) {
    return FindGiven(leases, from, lease_id) != nullptr;
  });
  if (entry == nullptr)
    return;
  AdvanceOne(book, entry->second, now);
  EndReleased(entry->second.leases, from, lease_id);
}

}  // namespace

void AdoptVersion(AccountBook& book,
                  const Version& version,
                  const Endpoint& own_address,
                  TimePoint now) {
  now = Look(book, now);
  for (auto& [id, account] : book.accounts)
    AdvanceOne(book, account, now);
  AdoptEntryAddresses(book.share_rule, version.entry_addresses, own_address,
                      now, book.faults);
  book.version = version.document.version;
  book.admission_wait = version.document.admission_wait;
  const int64_t divisor = DivisorInForce(book.share_rule, now);
  for (auto& [id, account] : book.accounts) {
    if (version.accounts_by_id.count(id) == 0)
      AdoptFleetShare(account, {}, divisor, book.faults);
  }
  const auto peers = static_cast<int64_t>(version.entry_addresses.size());
  for (const ClientAccount& client : version.document.client_accounts) {
    AccountState& account =
        book.accounts.try_emplace(client.id, NewAccount(now)).first->second;
    AdoptFleetShare(account, FleetShare(client), divisor, book.faults);
    account.peer_share = ShareOf(account.fleet, peers);
    account.pool_rank =
        PoolRank(client.id, version.entry_addresses, own_address);
  }
}

AdmissionDecision Admit(AccountBook& book,
                        const ClientAccountId& id,
                        TimePoint now,
                        TimePoint deadline,
                        AdmissionCallback done,
                        AccountActions& actions) {
  now = Look(book, now);
  AccountState* account = Find(book, id);
  if (account == nullptr)
    return {};
  AdvanceOne(book, *account, now);
  ++account->demand.offered;
  if (deadline <= now)
    return Refuse(*account, ErrorKind::kDeadlineExceeded);
  ServeWaiting(*account, now, book.faults, actions);
  if (account->queue.waiting.empty() && TakeToken(account->bucket)) {
    ++account->admitted;
    BalanceTokens(book, id, *account, now, actions);
    return {AdmissionDecision::State::kAdmitted, ErrorKind::kRateExceeded, 0};
  }
  const AdmissionDecision decision =
      Wait(book, *account, now, deadline, std::move(done));
  BalanceTokens(book, id, *account, now, actions);
  return decision;
}

void Cancel(AccountBook& book, const ClientAccountId& id, uint64_t ticket) {
  AccountState* account = Find(book, id);
  if (account != nullptr)
    Withdraw(account->queue, ticket);
}

void HandleMessage(AccountBook& book,
                   const InstanceId& from,
                   const PeerMessage& message,
                   TimePoint now,
                   AccountActions& actions) {
  now = Look(book, now);
  if (const auto* heartbeat = std::get_if<Heartbeat>(&message)) {
    HandleHeartbeat(book, from, *heartbeat, now);
  } else if (const auto* request = std::get_if<LeaseRequest>(&message)) {
    AccountState* account = Find(book, request->wanted.client_account);
    if (account == nullptr)
      return;
    AdvanceOne(book, *account, now);
    ServeWaiting(*account, now, book.faults, actions);
    HandleLeaseRequest(book, *account, from, request->wanted, now, actions);
  } else if (const auto* grant = std::get_if<LeaseGrant>(&message)) {
    HandleGrant(book, from, grant->granted, now, actions);
  } else if (const auto* release = std::get_if<LeaseRelease>(&message)) {
    HandleRelease(book, from, release->lease_id, now);
  }
}

void Tick(AccountBook& book, TimePoint now, AccountActions& actions) {
  now = Look(book, now);
  RefillBudgets(book, now);
  const bool review = now >= book.next_review;
  if (review)
    book.next_review = now + kReviewInterval;
  for (auto& [id, account] : book.accounts) {
    AdvanceOne(book, account, now);
    ServeWaiting(account, now, book.faults, actions);
    if (review)
      ReviewRates(book, id, account, now, actions);
    BalanceTokens(book, id, account, now, actions);
  }
  if (review)
    DropUnusedAccounts(book);
}

void ForgetPeer(AccountBook& book, const InstanceId& peer) {
  for (auto& [id, account] : book.accounts) {
    account.peers.erase(peer);
    std::vector<PendingLease>& pending = account.leases.pending;
    pending.erase(std::remove_if(pending.begin(), pending.end(),
                                 [&](const PendingLease& request) {
                                   return request.to == peer;
                                 }),
                  pending.end());
  }
}

std::vector<SpareShare> SpareShares(const AccountBook& book, TimePoint now) {
  std::vector<SpareShare> shares;
  if (!book.lends || book.fenced || now - book.last_clock_check > kLongestGap)
    return shares;
  for (const auto& [id, account] : book.accounts) {
    const MicroTokens tokens =
        SpareTokens(account, now + kTokenLeaseDuration + kLeaseMargin);
    if (tokens > 0)
      shares.push_back({id, tokens});
  }
  return shares;
}

void FenceBook(AccountBook& book, bool fenced, TimePoint now) {
  now = Look(book, now);
  if (fenced && !book.fenced)
    book.fenced_since = now;
  // Versions that changed the shares and changed them back may have been
  // missed, as in a long pause.
  if (!fenced && book.fenced && now - book.fenced_since > kShareOverlap)
    ForgetEarlierShares(book.share_rule, now);
  book.fenced = fenced;
}

void ConfirmVersion(AccountBook& book,
                    uint64_t version,
                    Duration unchanged_for,
                    TimePoint now) {
  now = Look(book, now);
  if (version == book.version)
    ConfirmEntryAddresses(book.share_rule, unchanged_for, now);
}

}  // namespace mangodoor
