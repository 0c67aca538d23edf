#include "process/accounts/account_table.h"

#include <algorithm>
#include <utility>

namespace mangodoor {
namespace {

AdmissionReply::State ReplyState(AdmissionDecision::State state) {
  switch (state) {
    case AdmissionDecision::State::kAdmitted:
      return AdmissionReply::State::kAdmitted;
    case AdmissionDecision::State::kWaiting:
      return AdmissionReply::State::kWaiting;
    case AdmissionDecision::State::kRefused:
      break;
  }
  return AdmissionReply::State::kRefused;
}

}  // namespace

void ApplyVersion(AccountTable& table,
                  const Version& version,
                  const Endpoint& own_address,
                  TimePoint now) {
  OrderedLock lock(table.mutex);
  AdoptVersion(table.limiter, version, own_address, now);
}

AdmissionReply RequestAdmission(AccountTable& table,
                                const ClientAccountId& account,
                                TimePoint now,
                                TimePoint deadline,
                                AdmissionCallback done) {
  OrderedLock lock(table.mutex);
  AdmissionReply reply;
  const AdmissionDecision decision = Admit(
      table.limiter, account, now, deadline, std::move(done), reply.actions);
  reply.state = ReplyState(decision.state);
  reply.error = decision.error;
  reply.ticket = decision.ticket;
  return reply;
}

void CancelAdmission(AccountTable& table,
                     const ClientAccountId& account,
                     uint64_t ticket) {
  OrderedLock lock(table.mutex);
  Cancel(table.limiter, account, ticket);
}

AccountActions HandleAccountMessage(AccountTable& table,
                                    const InstanceId& from,
                                    const PeerMessage& message,
                                    TimePoint now) {
  OrderedLock lock(table.mutex);
  AccountActions actions;
  HandleMessage(table.limiter, from, message, now, actions);
  return actions;
}

void ForgetPeer(AccountTable& table, const InstanceId& peer) {
  OrderedLock lock(table.mutex);
  ForgetPeer(table.limiter, peer);
}

std::vector<AccountSpareTokens> ListSpareTokens(const AccountTable& table,
                                                TimePoint now) {
  OrderedLock lock(table.mutex);
  return ListSpareTokens(table.limiter, now);
}

void StopLending(AccountTable& table) {
  OrderedLock lock(table.mutex);
  table.limiter.lending_enabled = false;
}

void SetFenced(AccountTable& table, bool fenced, TimePoint now) {
  OrderedLock lock(table.mutex);
  SetFenced(table.limiter, fenced, now);
}

void SeedLeaseNames(AccountTable& table, uint64_t random_value) {
  OrderedLock lock(table.mutex);
  table.limiter.next_lease_name = random_value;
}

Duration EntryAddressesAge(const AccountTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  if (!table.limiter.started)
    return Duration::zero();
  return std::max(Duration::zero(),
                  now - table.limiter.share_state.unchanged_since);
}

void ConfirmEntryAddresses(AccountTable& table,
                           uint64_t version,
                           Duration unchanged_for,
                           TimePoint now) {
  OrderedLock lock(table.mutex);
  ConfirmVersion(table.limiter, version, unchanged_for, now);
}

AccountActions TickAccounts(AccountTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  AccountActions actions;
  Tick(table.limiter, now, actions);
  return actions;
}

bool CanUseShare(const AccountTable& table, TimePoint now) {
  OrderedLock lock(table.mutex);
  const ShareState& share_state = table.limiter.share_state;
  if (!table.limiter.started)
    return false;
  return share_state.divisor == 0 || DivisorInForce(share_state, now) > 0;
}

std::vector<AccountStatus> AccountStatuses(const AccountTable& table,
                                           TimePoint /*now*/) {
  OrderedLock lock(table.mutex);
  std::vector<AccountStatus> statuses;
  for (const auto& [id, account] : table.limiter.accounts)
    statuses.push_back(StatusOf(id, account));
  return statuses;
}

}  // namespace mangodoor
