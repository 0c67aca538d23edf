#include "process/status/instance_status.h"

#include <algorithm>

#include "process/tables.h"

namespace mangodoor {

Readiness DecideReadiness(bool has_document,
                          InstanceState state,
                          bool is_fresh,
                          bool can_use_share) {
  if (!has_document)
    return {false, "no document is in force"};
  switch (state) {
    case InstanceState::kJoining:
      return {false, "joining: no serving peer has been heard yet"};
    case InstanceState::kLeaving:
      return {false, "leaving: a planned stop is under way"};
    case InstanceState::kServing:
      break;
  }
  if (!is_fresh) {
    return {false,
            "fenced: neither the configuration service nor enough instances "
            "have been heard"};
  }
  // Without its share, the instance would refuse callers that are within their
  // rate.
  if (!can_use_share) {
    return {false,
            "starting: the share of this entry address may still be in use "
            "elsewhere"};
  }
  return {true, ""};
}

Readiness ReadinessOf(const Tables& tables,
                      const FleetTables* fleet,
                      TimePoint now) {
  return DecideReadiness(VersionInForce(tables.versions) != nullptr,
                         OwnState(tables.membership),
                         MayServeKeyedRequests(tables.versions, now),
                         fleet != nullptr || CanUseShare(tables.accounts, now));
}

InstanceStatus CollectStatus(const Tables& tables,
                             const FleetTables* fleet,
                             TimePoint now) {
  InstanceStatus status;
  {
    OrderedLock lock(tables.membership.mutex);
    status.self = tables.membership.self;
    status.list_revision = tables.membership.list.revision;
  }
  status.state = OwnState(tables.membership);
  status.readiness = ReadinessOf(tables, fleet, now);
  LimitPolicy policy = LimitPolicy::kEntryAddresses;
  if (const VersionPtr version = VersionInForce(tables.versions)) {
    status.version = version->document.version;
    status.digest = version->digest;
    policy = version->document.limit_policy;
  }
  status.configuration_fresh = MayServeKeyedRequests(tables.versions, now);
  status.peers = PeerStatuses(tables.membership, now);
  status.servers = ServerStatuses(tables.servers, now);
  status.accounts = policy == LimitPolicy::kSharedUsage
                        ? AccountStatuses(tables.usage, now)
                        : AccountStatuses(tables.accounts, now);
  std::sort(status.accounts.begin(), status.accounts.end(),
            [](const AccountStatus& a, const AccountStatus& b) {
              return a.client_account < b.client_account;
            });
  if (fleet) {
    status.fleet = CollectFleetStatus(*fleet, now);
    status.fleet->cold_servers = StatusOfColdServers(tables.servers, now);
  }
  return status;
}

const char* Name(InstanceState state) {
  switch (state) {
    case InstanceState::kJoining:
      return "joining";
    case InstanceState::kServing:
      return "serving";
    case InstanceState::kLeaving:
      return "leaving";
  }
  return "joining";
}

const char* Name(ServerState state) {
  switch (state) {
    case ServerState::kCold:
      return "cold";
    case ServerState::kWarm:
      return "warm";
    case ServerState::kSlow:
      return "slow";
    case ServerState::kDraining:
      return "draining";
    case ServerState::kDown:
      return "down";
  }
  return "down";
}

}  // namespace mangodoor
