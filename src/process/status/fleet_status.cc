#include "process/status/fleet_status.h"

#include "process/fleet/fleet_table.h"
#include "process/registry/feed.h"

namespace mangodoor {
namespace {

void FillFromFleetTable(const FleetTable& table,
                        TimePoint now,
                        FleetStatus& status) {
  OrderedLock lock(table.mutex);
  status.rank = OwnRank(table.member_list);
  status.requests_per_s = FleetRequestsPerS(table.request_rates, now);
  for (const auto& [id, entry] : table.member_list.members) {
    MemberStatus member;
    member.member = entry.member;
    member.linked = table.links.count(id) > 0;
    if (entry.last_heard)
      member.time_since_heard = now - *entry.last_heard;
    status.members.push_back(std::move(member));
  }
}

void FillFromFeed(const Feed& feed, TimePoint now, FleetStatus& status) {
  OrderedLock lock(feed.mutex);
  status.store_revision = feed.replica.revision.number;
  status.store_era = feed.replica.revision.era;
  status.carried_items = feed.carried.size();
  status.reads_store = IsReading(feed.reader);
  if (feed.confirmation)
    status.store_age = now - feed.confirmation->at;
  for (MemberStatus& member : status.members) {
    const auto peer = feed.peers.find(member.member.id);
    if (peer == feed.peers.end())
      continue;
    member.store_revision = peer->second.revision.number;
    member.reads_store = peer->second.reads_store;
  }
}

}  // namespace

FleetStatus CollectFleetStatus(const FleetTables& tables, TimePoint now) {
  FleetStatus status;
  FillFromFleetTable(tables.fleet, now, status);
  FillFromFeed(tables.feed, now, status);
  status.entries_refused = tables.feed.entries_refused;
  return status;
}

}  // namespace mangodoor
