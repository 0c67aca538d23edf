#include "process/accounts/share.h"

#include <algorithm>

namespace mangodoor {
namespace {

// Larger values are clamped: their sums and products would overflow.
constexpr double kMaxTokensPerSecond = 1e6;
constexpr int64_t kMaxBurst = 1000000;

MicroTokens RateInMicroTokens(double rate_per_s) {
  // The comparison is also false for NaN.
  if (!(rate_per_s > 0))
    return 0;
  return static_cast<MicroTokens>(std::min(rate_per_s, kMaxTokensPerSecond) *
                                  kMicroTokensPerToken);
}

int64_t DivisorOf(const std::vector<Endpoint>& entry_addresses,
                  const Endpoint& own_address) {
  const bool listed = std::find(entry_addresses.begin(), entry_addresses.end(),
                                own_address) != entry_addresses.end();
  return listed ? static_cast<int64_t>(entry_addresses.size()) : 0;
}

}  // namespace

ShareState MakeShareState(TimePoint now, const InjectedLimitFaults& faults) {
  ShareState state;
  state.unchanged_since = now;
  state.usable_from = now + kLeaseMaxDuration + kLeaseMargin;
  if (faults.new_process_uses_share_at_once)
    state.usable_from = now;
  return state;
}

void AdoptEntryAddresses(ShareState& state,
                         const std::vector<Endpoint>& entry_addresses,
                         const Endpoint& own_address,
                         TimePoint now,
                         const InjectedLimitFaults& faults) {
  if (state.entry_addresses == entry_addresses)
    return;
  if (!state.entry_addresses.empty()) {
    if (!faults.share_changes_without_overlap)
      state.earlier.push_back({state.divisor, now + kShareOverlap});
  } else if (!faults.new_process_trusts_first_version) {
    // Peers may still use a version with other entry addresses. The share that
    // it gave this address is unknown, so this process has no share yet.
    state.earlier_unknown_until = now + kShareOverlap;
  }
  state.entry_addresses = entry_addresses;
  state.divisor = DivisorOf(entry_addresses, own_address);
  state.unchanged_since = now;
  state.earlier.erase(std::remove_if(state.earlier.begin(), state.earlier.end(),
                                     [now](const EarlierDivisor& earlier) {
                                       return earlier.until <= now;
                                     }),
                      state.earlier.end());
}

void MarkEarlierSharesUnknown(ShareState& state, TimePoint now) {
  state.unchanged_since = now;
  state.earlier_unknown_until = now + kShareOverlap;
}

void ConfirmEntryAddresses(ShareState& state,
                           Duration unchanged_for,
                           TimePoint now) {
  if (unchanged_for <= Duration::zero())
    return;
  const Duration confirmed_for = std::min(unchanged_for, kShareOverlap);
  state.unchanged_since = std::min(state.unchanged_since, now - confirmed_for);
  state.earlier_unknown_until = std::min(state.earlier_unknown_until,
                                         now + (kShareOverlap - confirmed_for));
}

int64_t DivisorInForce(const ShareState& state, TimePoint now) {
  if (now < state.usable_from || now < state.earlier_unknown_until)
    return 0;
  int64_t largest = state.divisor;
  for (const EarlierDivisor& earlier : state.earlier) {
    if (now >= earlier.until)
      continue;
    if (earlier.divisor == 0)
      return 0;
    largest = std::max(largest, earlier.divisor);
  }
  return state.divisor == 0 ? 0 : largest;
}

RateAndBurst ShareOf(const RateAndBurst& limit, int64_t divisor) {
  if (divisor <= 0)
    return {};
  return {limit.rate_per_s / divisor, limit.burst / divisor};
}

RateAndBurst FleetLimit(const ClientAccount& account) {
  return {
      RateInMicroTokens(account.rate_per_s),
      std::clamp<int64_t>(account.burst, 0, kMaxBurst) * kMicroTokensPerToken};
}

}  // namespace mangodoor
