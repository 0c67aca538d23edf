#include "process/accounts/account_messages.h"

#include <algorithm>

#include "process/accounts/lease_policy.h"

namespace mangodoor {
namespace {

// Rates and bursts of messages: the lease requests and releases of one client
// account, those of all client accounts, and the replies. They bound the cost
// whatever the callers' rate. With a third of these values, 9 of 1000 requests
// are refused instead of 2 at 80% load when the callers of all client accounts
// move to another instance.
constexpr RateAndBurst kAccountMessageBudget{300 * kMicroTokensPerToken,
                                             300 * kMicroTokensPerToken};
constexpr RateAndBurst kTotalMessageBudget{800 * kMicroTokensPerToken,
                                           600 * kMicroTokensPerToken};
constexpr RateAndBurst kReplyBudget{1000 * kMicroTokensPerToken,
                                    1000 * kMicroTokensPerToken};

// Minimum time between requests for tokens of one client account, about one
// round trip at 0.5 ms each way. With 2 ms, a reply can arrive before the next
// request is allowed, and the waiting requests then wait for the next tick.
constexpr Duration kTokenRequestInterval = std::chrono::milliseconds(1);

// No rate is requested for this time from a peer that had none to lend.
constexpr Duration kRateBackOff = std::chrono::milliseconds(200);

// Bounds the memory that one peer can make this instance use.
constexpr int64_t kMaxLeasesPerPeer = 16;

// Requests for tokens leave this much of the budgets to leases of rate, each of
// which saves many requests for tokens.
constexpr MicroTokens kAccountMessageReserve = 24 * kMicroTokensPerToken;
constexpr MicroTokens kTotalMessageReserve = 100 * kMicroTokensPerToken;

bool TakeMessageBudget(AccountLimiter& limiter, AccountState& account) {
  if (account.message_budget.tokens < kMicroTokensPerToken)
    return false;
  return TakeToken(limiter.message_budget) && TakeToken(account.message_budget);
}

bool TakeTokenRequestBudget(AccountLimiter& limiter, AccountState& account) {
  return account.message_budget.tokens > kAccountMessageReserve &&
         limiter.message_budget.tokens > kTotalMessageReserve &&
         TakeMessageBudget(limiter, account);
}

void SendRequest(AccountState& account,
                 const InstanceId& to,
                 const CapacityLease& wanted,
                 TimePoint now,
                 AccountActions& actions) {
  account.leases.pending.push_back({to, wanted, now});
  actions.messages.push_back({to, LeaseRequest{wanted}});
}

void SendPlannedRequests(AccountLimiter& limiter,
                         AccountState& account,
                         const std::vector<PlannedRequest>& planned,
                         TimePoint now,
                         AccountActions& actions) {
  for (const PlannedRequest& request : planned) {
    const bool has_budget = request.wanted.rate_per_s > 0
                                ? TakeMessageBudget(limiter, account)
                                : TakeTokenRequestBudget(limiter, account);
    if (!has_budget)
      return;
    CapacityLease wanted = request.wanted;
    wanted.id = limiter.next_lease_name++ << kExtensionBits;
    SendRequest(account, request.to, wanted, now, actions);
  }
}

void SendExtension(AccountState& account,
                   const ClientAccountId& id,
                   BorrowedLease& lease,
                   TimePoint now,
                   AccountActions& actions) {
  const uint64_t next = lease.last_requested + 1;
  // All extension numbers are used up: this lease is left to end, and a new one
  // is requested if it is needed.
  if (!IsExtension(next))
    return;
  lease.last_requested = next;
  SendRequest(account, lease.from,
              {next, id, 0, lease.capacity.rate_per_s, lease.capacity.burst,
               kLeaseMaxDuration},
              now, actions);
}

void SendReleases(AccountLimiter& limiter,
                  AccountState& account,
                  TimePoint now,
                  AccountActions& actions) {
  AccountLeases& leases = account.leases;
  for (const uint64_t name : PlanReleases(account, now)) {
    const auto lease = std::find_if(
        leases.borrowed.begin(), leases.borrowed.end(),
        [name](const BorrowedLease& l) { return LeaseName(l.id) == name; });
    if (lease == leases.borrowed.end() || !TakeMessageBudget(limiter, account))
      continue;
    actions.messages.push_back(
        {lease->from, LeaseRelease{lease->last_requested}});
    leases.borrowed.erase(lease);
    leases.pending.erase(
        std::remove_if(leases.pending.begin(), leases.pending.end(),
                       [name](const PendingLeaseRequest& pending) {
                         return LeaseName(pending.wanted.id) == name;
                       }),
        leases.pending.end());
  }
  DiscardExcess(account, limiter.faults);
}

int64_t CountLeasesGrantedTo(const AccountState& account,
                             const InstanceId& peer) {
  return std::count_if(
      account.leases.granted.begin(), account.leases.granted.end(),
      [&](const GrantedLease& lease) { return lease.to == peer; });
}

CapacityLease EmptyGrant(const CapacityLease& wanted) {
  CapacityLease grant;
  grant.id = wanted.id;
  grant.client_account = wanted.client_account;
  return grant;
}

CapacityLease ExtendLease(const AccountLimiter& limiter,
                          AccountState& account,
                          GrantedLease& lease,
                          const CapacityLease& wanted,
                          TimePoint now) {
  CapacityLease granted = EmptyGrant(wanted);
  if (!limiter.lending_enabled || limiter.fenced || !CanExtend(account))
    return granted;
  if (!ExtendGranted(lease, wanted, now))
    return granted;
  account.rate_lent_at = now;
  granted.rate_per_s = lease.capacity.rate_per_s;
  granted.burst = lease.capacity.burst;
  granted.duration = wanted.duration;
  return granted;
}

CapacityLease GrantLease(const AccountLimiter& limiter,
                         AccountState& account,
                         const InstanceId& from,
                         const CapacityLease& wanted,
                         TimePoint now) {
  if (!limiter.lending_enabled || limiter.fenced || IsExtension(wanted.id) ||
      CountLeasesGrantedTo(account, from) >= kMaxLeasesPerPeer)
    return EmptyGrant(wanted);
  CapacityLease offer = MakeOffer(account, wanted, now);
  if (offer.rate_per_s <= 0 && offer.burst <= 0)
    return EmptyGrant(wanted);
  if (!limiter.faults.grantor_keeps_lent_capacity) {
    account.bucket.tokens -= offer.tokens;
    AddGrantedLease(account.leases, from, offer, now);
    if (offer.rate_per_s > 0)
      account.rate_lent_at = now;
    DiscardExcess(account, limiter.faults);
  }
  return offer;
}

}  // namespace

void BalanceTokens(AccountLimiter& limiter,
                   const ClientAccountId& id,
                   AccountState& account,
                   TimePoint now,
                   AccountActions& actions) {
  SendReleases(limiter, account, now, actions);
  if (account.queue.waiting.empty() || now < account.next_token_request)
    return;
  account.next_token_request = now + kTokenRequestInterval;
  SendPlannedRequests(
      limiter, account,
      PlanTokenLeases(id, account, limiter.next_lease_name, now), now, actions);
}

void ReviewRates(AccountLimiter& limiter,
                 const ClientAccountId& id,
                 AccountState& account,
                 TimePoint now,
                 AccountActions& actions) {
  UpdateDemand(account.demand, now);
  SendReleases(limiter, account, now, actions);
  for (const uint64_t name : PlanExtensions(account, now)) {
    BorrowedLease* lease = FindBorrowed(account.leases, name << kExtensionBits);
    if (lease != nullptr && TakeMessageBudget(limiter, account))
      SendExtension(account, id, *lease, now, actions);
  }
  SendPlannedRequests(limiter, account,
                      PlanRateLeases(id, account, limiter.next_lease_name, now),
                      now, actions);
}

void HandleLeaseRequest(AccountLimiter& limiter,
                        AccountState& account,
                        const InstanceId& from,
                        const CapacityLease& wanted,
                        TimePoint now,
                        AccountActions& actions) {
  if (!IsValidRequest(wanted) || !TakeToken(limiter.reply_budget))
    return;
  GrantedLease* granted = FindGranted(account.leases, from, wanted.id);
  if (granted != nullptr && wanted.id <= granted->id)
    return;  // The request is repeated, or older than one already handled.
  const CapacityLease reply =
      granted != nullptr ? ExtendLease(limiter, account, *granted, wanted, now)
                         : GrantLease(limiter, account, from, wanted, now);
  actions.messages.push_back({from, LeaseGrant{reply}});
}

bool HandleLeaseGrant(AccountLimiter& limiter,
                      AccountState& account,
                      const InstanceId& from,
                      const CapacityLease& granted,
                      TimePoint now) {
  const std::optional<PendingLeaseRequest> request =
      TakeAnsweredRequest(account.leases, from, granted, now, limiter.faults);
  if (!request)
    return false;
  if (!IsExtension(granted.id)) {
    PeerEstimate& peer = account.peers[from];
    RecordGrant(peer, request->wanted.tokens, granted.tokens, now);
    if (request->wanted.rate_per_s > 0 && granted.rate_per_s == 0)
      peer.next_rate_request = now + kRateBackOff;
  }
  if (granted.rate_per_s == 0 && granted.burst == 0)
    return true;
  account.bucket.tokens +=
      ApplyGrant(account.leases, *request, granted, now, limiter.faults);
  DiscardExcess(account, limiter.faults);
  return true;
}

void RefillBudgets(AccountLimiter& limiter, TimePoint now) {
  Refill(limiter.message_budget, kTotalMessageBudget, now);
  Refill(limiter.reply_budget, kReplyBudget, now);
  for (auto& [id, account] : limiter.accounts)
    Refill(account.message_budget, kAccountMessageBudget, now);
}

}  // namespace mangodoor
