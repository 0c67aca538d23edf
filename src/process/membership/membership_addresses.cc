#include <utility>

#include "process/membership/address_choice.h"
#include "process/membership/membership_table.h"

namespace mangodoor {
namespace {

bool IsInService(const Version& version, const DataCentreId& data_centre) {
  const auto found = version.data_centres_by_id.find(data_centre);
  return found == version.data_centres_by_id.end() || found->second->in_service;
}

bool AcceptsRequests(const MembershipTable& table,
                     const Instance& instance,
                     TimePoint now) {
  if (instance.id == table.self.id)
    return table.own_state == InstanceState::kServing && !table.own_fenced;
  const auto found = table.peers.find(instance.id);
  return found != table.peers.end() && IsReachable(found->second, now) &&
         found->second.state == InstanceState::kServing &&
         !found->second.fenced && !instance.leaving;
}

std::vector<AddressCandidate> Candidates(const MembershipTable& table,
                                         const Version& version,
                                         TimePoint now) {
  std::vector<Instance> instances{table.self};
  for (const Instance& instance : table.list.instances) {
    if (instance.id != table.self.id)
      instances.push_back(instance);
  }
  std::vector<AddressCandidate> candidates;
  for (const Instance& instance : instances) {
    if (AcceptsRequests(table, instance, now) &&
        IsInService(version, instance.data_centre))
      candidates.push_back({instance.caller_endpoint,
                            instance.data_centre == table.self.data_centre});
  }
  return candidates;
}

// With one hash key, all callers without an API key would be sent to the same
// two instances. The time of the query distributes them.
std::string HashKey(const std::optional<ClientAccountId>& account,
                    TimePoint now) {
  if (account)
    return account->value();
  return std::to_string(now.time_since_epoch().count());
}

double RateOf(const Version& version,
              const std::optional<ClientAccountId>& account) {
  if (!account)
    return 0;
  const auto found = version.accounts_by_id.find(*account);
  return found == version.accounts_by_id.end() ? 0 : found->second->rate_per_s;
}

}  // namespace

std::vector<Endpoint> ChooseAddresses(
    const MembershipTable& table,
    const Version& version,
    const std::optional<ClientAccountId>& account,
    TimePoint now) {
  std::vector<AddressCandidate> candidates;
  bool joining = false;
  {
    OrderedLock lock(table.mutex);
    candidates = Candidates(table, version, now);
    joining = table.own_state == InstanceState::kJoining;
  }
  std::vector<Endpoint> chosen =
      RankAddresses(std::move(candidates), HashKey(account, now),
                    AddressCount(RateOf(version, account)));
  // Even if this instance is fenced or its data centre is out of service, it is
  // better than no address: it still serves open routes.
  if (chosen.empty() && !joining)
    chosen.push_back(table.self.caller_endpoint);
  return chosen;
}

}  // namespace mangodoor
