#include "process/accounts/share.h"

#include <algorithm>

namespace mangodoor {
namespace {

// Larger values are cut off: sums and products of them would overflow.
constexpr double kMaxTokensPerSecond = 1e6;
constexpr int64_t kMaxBurst = 1000000;

MicroTokens RateInMicroTokens(double rate_per_s) {
  // Also false for a value that is not a number.
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

ShareRule StartShareRule(TimePoint now, const InjectedLimitFaults& faults) {
  ShareRule rule;
  rule.unchanged_since = now;
  rule.mint_from = now + kLeaseMaxDuration + kLeaseMargin;
  if (faults.fresh_process_mints_at_once)
    rule.mint_from = now;
  return rule;
}

void AdoptEntryAddresses(ShareRule& rule,
                         const std::vector<Endpoint>& entry_addresses,
                         const Endpoint& own_address,
                         TimePoint now,
                         const InjectedLimitFaults& faults) {
  if (rule.entry_addresses == entry_addresses)
    return;
  if (!rule.entry_addresses.empty()) {
    if (!faults.share_changes_without_overlap)
      rule.earlier.push_back({rule.divisor, now + kShareOverlap});
  } else if (!faults.fresh_process_trusts_first_version) {
    // Peers may still use a version with other entry addresses. What this
    // address had in it is unknown, so the smaller share is none.
    rule.unknown_until = now + kShareOverlap;
  }
  rule.entry_addresses = entry_addresses;
  rule.divisor = DivisorOf(entry_addresses, own_address);
  rule.unchanged_since = now;
  rule.earlier.erase(std::remove_if(rule.earlier.begin(), rule.earlier.end(),
                                    [now](const EarlierDivisor& earlier) {
                                      return earlier.until <= now;
                                    }),
                     rule.earlier.end());
}

void ForgetEarlierShares(ShareRule& rule, TimePoint now) {
  rule.unchanged_since = now;
  rule.unknown_until = now + kShareOverlap;
}

void ConfirmEntryAddresses(ShareRule& rule,
                           Duration unchanged_for,
                           TimePoint now) {
  if (unchanged_for <= Duration::zero())
    return;
  const Duration known = std::min(unchanged_for, kShareOverlap);
  rule.unchanged_since = std::min(rule.unchanged_since, now - known);
  rule.unknown_until =
      std::min(rule.unknown_until, now + (kShareOverlap - known));
}

int64_t DivisorInForce(const ShareRule& rule, TimePoint now) {
  if (now < rule.mint_from || now < rule.unknown_until)
    return 0;
  int64_t largest = rule.divisor;
  for (const EarlierDivisor& earlier : rule.earlier) {
    if (now >= earlier.until)
      continue;
    if (earlier.divisor == 0)
      return 0;
    largest = std::max(largest, earlier.divisor);
  }
  return rule.divisor == 0 ? 0 : largest;
}

Share ShareOf(const Share& fleet, int64_t divisor) {
  if (divisor <= 0)
    return {};
  return {fleet.rate_per_s / divisor, fleet.burst / divisor};
}

Share FleetShare(const ClientAccount& account) {
  return {
      RateInMicroTokens(account.rate_per_s),
      std::clamp<int64_t>(account.burst, 0, kMaxBurst) * kMicroTokensPerToken};
}

}  // namespace mangodoor
