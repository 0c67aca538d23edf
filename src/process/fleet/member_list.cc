#include "process/fleet/member_list.h"

#include <algorithm>
#include <set>

#include "process/membership/rendezvous.h"

namespace mangodoor {
namespace {

void RecordOwnChange(MemberList& member_list) {
  member_list.own_change = ++member_list.last_change;
}

/**
 * Refutes an update about this instance that supersedes its own state, by a
 * higher incarnation. Returns true if it did.
 */
bool ApplyUpdateOfSelf(MemberList& member_list, const Member& update) {
  if (!Supersedes(update, member_list.self))
    return false;
  member_list.self.incarnation = update.incarnation + 1;
  RecordOwnChange(member_list);
  return true;
}

/** The time from which the silence of an instance is counted. */
TimePoint SilentSince(const MemberList& member_list, const MemberEntry& entry) {
  return std::max({member_list.watching_since, entry.changed_at,
                   entry.last_heard.value_or(TimePoint())});
}

/** Counts a member that was leaving, if it is gone now. */
void CountIfLeft(MemberList& member_list,
                 const Member& before,
                 MemberState state) {
  if (before.state == MemberState::kLeaving && state == MemberState::kGone)
    ++member_list.left;
}

void MarkGone(MemberList& member_list,
              MemberEntry& entry,
              std::vector<InstanceId>& gone,
              TimePoint now) {
  CountIfLeft(member_list, entry.member, MemberState::kGone);
  entry.member.state = MemberState::kGone;
  entry.change = ++member_list.last_change;
  entry.changed_at = now;
  entry.learned_from = InstanceId();
  gone.push_back(entry.member.id);
}

/** The latest SilentSince of the live instances of a data centre, if any. */
std::optional<TimePoint> DataCentreSilentSince(
    const MemberList& member_list,
    const DataCentreId& data_centre) {
  std::optional<TimePoint> latest;
  for (const auto& [id, entry] : member_list.members) {
    if (entry.member.data_centre == data_centre &&
        entry.member.state != MemberState::kGone)
      latest = std::max(latest.value_or(TimePoint()),
                        SilentSince(member_list, entry));
  }
  return latest;
}

/** Updates `hub_since` and `leader_since` from this instance's rank. */
void UpdateRoles(MemberList& member_list, TimePoint now) {
  const size_t rank = OwnRank(member_list);
  if (rank >= kHubsPerDataCentre)
    member_list.hub_since.reset();
  else if (!member_list.hub_since)
    member_list.hub_since = now;
  if (rank > 0)
    member_list.leader_since.reset();
  else if (!member_list.leader_since)
    member_list.leader_since = now;
}

void CheckOwnDataCentre(MemberList& member_list,
                        const SilenceLimits& limits,
                        TimePoint now,
                        std::vector<InstanceId>& gone) {
  const std::vector<const Member*> ranked =
      RankedMembers(member_list, member_list.self.data_centre);
  // Other instances link to a hub only once it has become one, so a new hub
  // waits for `limits.instance` before it checks them.
  const bool links_settled =
      member_list.hub_since && now - *member_list.hub_since > limits.instance;
  const size_t checked = links_settled
                             ? ranked.size()
                             : std::min(kHubsPerDataCentre, ranked.size());
  for (size_t i = 0; i < checked; ++i) {
    if (ranked[i]->id == member_list.self.id)
      continue;
    MemberEntry& entry = member_list.members.at(ranked[i]->id);
    if (now - SilentSince(member_list, entry) > limits.instance)
      MarkGone(member_list, entry, gone, now);
  }
}

void CheckOtherDataCentres(MemberList& member_list,
                           const SilenceLimits& limits,
                           TimePoint now,
                           std::vector<InstanceId>& gone) {
  if (!member_list.leader_since ||
      now - *member_list.leader_since <= limits.data_centre)
    return;
  for (const DataCentreId& data_centre : KnownDataCentres(member_list)) {
    if (data_centre == member_list.self.data_centre)
      continue;
    const auto silent_since = DataCentreSilentSince(member_list, data_centre);
    if (!silent_since || now - *silent_since <= limits.data_centre)
      continue;
    for (auto& [id, entry] : member_list.members) {
      if (entry.member.data_centre == data_centre &&
          entry.member.state != MemberState::kGone)
        MarkGone(member_list, entry, gone, now);
    }
  }
}

}  // namespace

MemberList MakeMemberList(Member self) {
  MemberList member_list;
  member_list.self = std::move(self);
  RecordOwnChange(member_list);
  return member_list;
}

bool ApplyUpdate(MemberList& member_list,
                 const InstanceId& from,
                 const Member& update,
                 TimePoint now) {
  if (update.id == member_list.self.id)
    return ApplyUpdateOfSelf(member_list, update);
  const auto known = member_list.members.find(update.id);
  if (known != member_list.members.end() &&
      !Supersedes(update, known->second.member))
    return false;
  MemberEntry& entry = member_list.members[update.id];
  CountIfLeft(member_list, entry.member, update.state);
  const bool restarted = entry.member.incarnation != update.incarnation;
  entry.member = update;
  entry.change = ++member_list.last_change;
  entry.changed_at = now;
  entry.learned_from = from;
  if (restarted)
    entry.last_heard.reset();
  return true;
}

void RecordMessage(MemberList& member_list,
                   const InstanceId& from,
                   TimePoint now) {
  const auto known = member_list.members.find(from);
  if (known != member_list.members.end())
    known->second.last_heard = now;
}

void SetLeaving(MemberList& member_list, TimePoint) {
  member_list.self.state = MemberState::kLeaving;
  RecordOwnChange(member_list);
}

std::vector<const Member*> LiveMembers(const MemberList& member_list) {
  std::vector<const Member*> live{&member_list.self};
  for (const auto& [id, entry] : member_list.members) {
    if (entry.member.state != MemberState::kGone)
      live.push_back(&entry.member);
  }
  std::sort(live.begin(), live.end(),
            [](const Member* a, const Member* b) { return a->id < b->id; });
  return live;
}

std::vector<const Member*> RankedMembers(const MemberList& member_list,
                                         const DataCentreId& data_centre) {
  std::vector<std::pair<uint64_t, const Member*>> scored;
  for (const Member* member : LiveMembers(member_list)) {
    if (member->data_centre == data_centre) {
      scored.emplace_back(
          RendezvousScore(data_centre.value(), member->id.value()), member);
    }
  }
  // A leaving instance closes its links soon, so it is ranked last. Hubs have
  // more work than others, so those with the most processor time come first.
  std::stable_sort(
      scored.begin(), scored.end(), [](const auto& a, const auto& b) {
        const bool a_leaves = a.second->state == MemberState::kLeaving;
        const bool b_leaves = b.second->state == MemberState::kLeaving;
        if (a_leaves != b_leaves)
          return b_leaves;
        if (a.second->millicores != b.second->millicores)
          return a.second->millicores > b.second->millicores;
        return a.first > b.first;
      });
  std::vector<const Member*> ranked;
  ranked.reserve(scored.size());
  for (const auto& [score, member] : scored)
    ranked.push_back(member);
  return ranked;
}

size_t OwnRank(const MemberList& member_list) {
  const auto ranked = RankedMembers(member_list, member_list.self.data_centre);
  const auto own = std::find(ranked.begin(), ranked.end(), &member_list.self);
  return static_cast<size_t>(own - ranked.begin());
}

std::vector<DataCentreId> KnownDataCentres(const MemberList& member_list) {
  std::set<DataCentreId> known{member_list.self.data_centre};
  for (const auto& [id, entry] : member_list.members)
    known.insert(entry.member.data_centre);
  return {known.begin(), known.end()};
}

std::vector<InstanceId> DeclareGone(MemberList& member_list,
                                    const SilenceLimits& limits,
                                    TimePoint now) {
  UpdateRoles(member_list, now);
  std::vector<InstanceId> gone;
  CheckOwnDataCentre(member_list, limits, now, gone);
  CheckOtherDataCentres(member_list, limits, now, gone);
  return gone;
}

void ForgetGone(MemberList& member_list, Duration after, TimePoint now) {
  for (auto it = member_list.members.begin();
       it != member_list.members.end();) {
    const MemberEntry& entry = it->second;
    const bool old = entry.member.state == MemberState::kGone &&
                     now - entry.changed_at > after;
    it = old ? member_list.members.erase(it) : std::next(it);
  }
}

}  // namespace mangodoor
