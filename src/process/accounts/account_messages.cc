#include "process/accounts/account_messages.h"

#include <algorithm>

#include "process/accounts/lease_policy.h"

namespace mangodoor {
namespace {

// Messages a second and at once, for requests and releases of one client
// account, of all, and for answers. They bound the cost whatever the rate of
// callers is. With a third of them, 9 instead of 2 of 1000 requests are refused
// at 80% load when the callers of all client accounts move to another instance.
constexpr Share kAccountMessages{300 * kMicroTokensPerToken,
                                 300 * kMicroTokensPerToken};
constexpr Share kAllMessages{800 * kMicroTokensPerToken,
                             600 * kMicroTokensPerToken};
constexpr Share kAnswers{1000 * kMicroTokensPerToken,
                         1000 * kMicroTokensPerToken};

// Two requests for tokens of one client account are this far apart, about one
// round trip at 0.5 ms each way. At 2 ms an answer comes before the next
// request is allowed, and the requests wait for the next tick.
constexpr Duration kTokenPlanInterval = std::chrono::milliseconds(1);

// A peer that had no rate to lend is asked again after this time.
constexpr Duration kRateBackOff = std::chrono::milliseconds(200);

// Bounds what one peer can make this instance remember.
constexpr int64_t kMaxLeasesPerPeer = 16;

// Requests for tokens leave this part of the budgets to rate leases, which
// save many of them.
constexpr MicroTokens kAccountMessagesKept = 24 * kMicroTokensPerToken;
constexpr MicroTokens kAllMessagesKept = 100 * kMicroTokensPerToken;

bool MaySend(AccountLimiter& limiter, AccountState& account) {
  if (account.message_budget.tokens < kMicroTokensPerToken)
    return false;
  return TakeToken(limiter.message_budget) && TakeToken(account.message_budget);
}

bool MaySendTokenRequest(AccountLimiter& limiter, AccountState& account) {
  return account.message_budget.tokens > kAccountMessagesKept &&
         limiter.message_budget.tokens > kAllMessagesKept &&
         MaySend(limiter, account);
}

void SendRequest(AccountState& account,
                 const InstanceId& to,
                 const CapacityLease& wanted,
                 TimePoint now,
                 AccountActions& actions) {
  account.leases.pending.push_back({to, wanted, now});
  actions.messages.push_back({to, LeaseRequest{wanted}});
}

void SendWishes(AccountLimiter& limiter,
                AccountState& account,
                const std::vector<LeaseWish>& wishes,
                TimePoint now,
                AccountActions& actions) {
  for (const LeaseWish& wish : wishes) {
    const bool may_send = wish.wanted.rate_per_s > 0
                              ? MaySend(limiter, account)
                              : MaySendTokenRequest(limiter, account);
    if (!may_send)
      return;
    CapacityLease wanted = wish.wanted;
    wanted.id = limiter.next_lease_name++ << kExtensionBits;
    SendRequest(account, wish.to, wanted, now, actions);
  }
}

void SendExtension(AccountState& account,
                   const ClientAccountId& id,
                   TakenLease& lease,
                   TimePoint now,
                   AccountActions& actions) {
  const uint64_t next = lease.last_requested + 1;
  // The lease ends once its extensions are counted out; a new one follows.
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
        leases.taken.begin(), leases.taken.end(),
        [name](const TakenLease& l) { return LeaseName(l.id) == name; });
    if (lease == leases.taken.end() || !MaySend(limiter, account))
      continue;
    actions.messages.push_back(
        {lease->from, LeaseRelease{lease->last_requested}});
    leases.taken.erase(lease);
    leases.pending.erase(
        std::remove_if(leases.pending.begin(), leases.pending.end(),
                       [name](const PendingLease& pending) {
                         return LeaseName(pending.wanted.id) == name;
                       }),
        leases.pending.end());
  }
  DiscardExcess(account, limiter.faults);
}

int64_t LeasesGivenTo(const AccountState& account, const InstanceId& peer) {
  return std::count_if(
      account.leases.given.begin(), account.leases.given.end(),
      [&](const GivenLease& lease) { return lease.to == peer; });
}

CapacityLease Nothing(const CapacityLease& wanted) {
  CapacityLease nothing;
  nothing.id = wanted.id;
  nothing.client_account = wanted.client_account;
  return nothing;
}

CapacityLease ExtendLease(const AccountLimiter& limiter,
                          AccountState& account,
                          GivenLease& lease,
                          const CapacityLease& wanted,
                          TimePoint now) {
  CapacityLease granted = Nothing(wanted);
  if (!limiter.lends || limiter.fenced || !MayExtend(account))
    return granted;
  if (!ExtendGiven(lease, wanted, now))
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
  if (!limiter.lends || limiter.fenced || IsExtension(wanted.id) ||
      LeasesGivenTo(account, from) >= kMaxLeasesPerPeer)
    return Nothing(wanted);
  CapacityLease offer = OfferFor(account, wanted, now);
  if (offer.rate_per_s <= 0 && offer.burst <= 0)
    return Nothing(wanted);
  if (!limiter.faults.grantor_keeps_lent_capacity) {
    account.bucket.tokens -= offer.tokens;
    GiveLease(account.leases, from, offer, now);
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
  if (account.queue.waiting.empty() || now < account.next_token_plan)
    return;
  account.next_token_plan = now + kTokenPlanInterval;
  SendWishes(limiter, account,
             PlanTokenLeases(id, account, limiter.next_lease_name, now), now,
             actions);
}

void ReviewRates(AccountLimiter& limiter,
                 const ClientAccountId& id,
                 AccountState& account,
                 TimePoint now,
                 AccountActions& actions) {
  UpdateDemand(account.demand, now);
  SendReleases(limiter, account, now, actions);
  for (const uint64_t name : PlanExtensions(account, now)) {
    TakenLease* lease = FindTaken(account.leases, name << kExtensionBits);
    if (lease != nullptr && MaySend(limiter, account))
      SendExtension(account, id, *lease, now, actions);
  }
  SendWishes(limiter, account,
             PlanRateLeases(id, account, limiter.next_lease_name, now), now,
             actions);
}

void HandleLeaseRequest(AccountLimiter& limiter,
                        AccountState& account,
                        const InstanceId& from,
                        const CapacityLease& wanted,
                        TimePoint now,
                        AccountActions& actions) {
  if (!IsValidRequest(wanted) || !TakeToken(limiter.answer_budget))
    return;
  GivenLease* given = FindGiven(account.leases, from, wanted.id);
  if (given != nullptr && wanted.id <= given->id)
    return;  // Repeated, or overtaken by a later one.
  const CapacityLease answer =
      given != nullptr ? ExtendLease(limiter, account, *given, wanted, now)
                       : GrantLease(limiter, account, from, wanted, now);
  actions.messages.push_back({from, LeaseGrant{answer}});
}

bool HandleLeaseGrant(AccountLimiter& limiter,
                      AccountState& account,
                      const InstanceId& from,
                      const CapacityLease& granted,
                      TimePoint now) {
  const std::optional<PendingLease> request =
      TakeAnswered(account.leases, from, granted, now, limiter.faults);
  if (!request)
    return false;
  if (!IsExtension(granted.id)) {
    PeerEstimate& peer = account.peers[from];
    NoteGranted(peer, request->wanted.tokens, granted.tokens, now);
    if (request->wanted.rate_per_s > 0 && granted.rate_per_s == 0)
      peer.rate_not_before = now + kRateBackOff;
  }
  if (granted.rate_per_s == 0 && granted.burst == 0)
    return true;
  account.bucket.tokens +=
      UseGrant(account.leases, *request, granted, now, limiter.faults);
  DiscardExcess(account, limiter.faults);
  return true;
}

void RefillBudgets(AccountLimiter& limiter, TimePoint now) {
  Mint(limiter.message_budget, kAllMessages, now);
  Mint(limiter.answer_budget, kAnswers, now);
  for (auto& [id, account] : limiter.accounts)
    Mint(account.message_budget, kAccountMessages, now);
}

}  // namespace mangodoor
