#include "process/fleet/member_list.h"

#include <algorithm>
#include <set>

#include "process/membership/rendezvous.h"

namespace mangodoor {
namespace {

void NoteOwnChange(MemberBook& book) {
  book.own_change = ++book.last_change;
}

/** Someone holds another view of this instance; true if it is to be denied. */
bool LearnOfSelf(MemberBook& book, const Member& news) {
  if (!Supersedes(news, book.self))
    return false;
  book.self.incarnation = news.incarnation + 1;
  NoteOwnChange(book);
  return true;
}

TimePoint LastSign(const MemberBook& book, const MemberEntry& entry) {
  return std::max({book.watching_since, entry.changed_at,
                   entry.heard_at.value_or(TimePoint())});
}

void DeclareGone(MemberBook& book,
                 MemberEntry& entry,
                 std::vector<InstanceId>& gone,
                 TimePoint now) {
  entry.member.state = MemberState::kGone;
  entry.change = ++book.last_change;
  entry.changed_at = now;
  entry.told_by = InstanceId();
  gone.push_back(entry.member.id);
}

/** The latest sign of any live instance of a data centre, if there is one. */
std::optional<TimePoint> LastSignOf(const MemberBook& book,
                                    const DataCentreId& data_centre) {
  std::optional<TimePoint> last;
  for (const auto& [id, entry] : book.members) {
    if (entry.member.data_centre == data_centre &&
        entry.member.state != MemberState::kGone)
      last = std::max(last.value_or(TimePoint()), LastSign(book, entry));
  }
  return last;
}

/** Notes duties that begin or end with the rank of this instance. */
void NoteDuties(MemberBook& book, TimePoint now) {
  const size_t rank = OwnRank(book);
  if (rank >= kHubsPerDataCentre)
    book.hub_since.reset();
  else if (!book.hub_since)
    book.hub_since = now;
  if (rank > 0)
    book.lead_since.reset();
  else if (!book.lead_since)
    book.lead_since = now;
}

void WatchOwnDataCentre(MemberBook& book,
                        const SilenceLimits& limits,
                        TimePoint now,
                        std::vector<InstanceId>& gone) {
  const std::vector<const Member*> ranked =
      RankedMembers(book, book.self.data_centre);
  // Instances that are no hubs are linked to a hub only since it is one.
  const bool settled =
      book.hub_since && now - *book.hub_since > limits.instance;
  const size_t watched =
      settled ? ranked.size() : std::min(kHubsPerDataCentre, ranked.size());
  for (size_t i = 0; i < watched; ++i) {
    if (ranked[i]->id == book.self.id)
      continue;
    MemberEntry& entry = book.members.at(ranked[i]->id);
    if (now - LastSign(book, entry) > limits.instance)
      DeclareGone(book, entry, gone, now);
  }
}

void WatchOtherDataCentres(MemberBook& book,
                           const SilenceLimits& limits,
                           TimePoint now,
                           std::vector<InstanceId>& gone) {
  if (!book.lead_since || now - *book.lead_since <= limits.data_centre)
    return;
  for (const DataCentreId& data_centre : KnownDataCentres(book)) {
    if (data_centre == book.self.data_centre)
      continue;
    const auto last = LastSignOf(book, data_centre);
    if (!last || now - *last <= limits.data_centre)
      continue;
    for (auto& [id, entry] : book.members) {
      if (entry.member.data_centre == data_centre &&
          entry.member.state != MemberState::kGone)
        DeclareGone(book, entry, gone, now);
    }
  }
}

}  // namespace

MemberBook StartBook(Member self) {
  MemberBook book;
  book.self = std::move(self);
  NoteOwnChange(book);
  return book;
}

bool Learn(MemberBook& book,
           const InstanceId& from,
           const Member& news,
           TimePoint now) {
  if (news.id == book.self.id)
    return LearnOfSelf(book, news);
  const auto known = book.members.find(news.id);
  if (known != book.members.end() && !Supersedes(news, known->second.member))
    return false;
  MemberEntry& entry = book.members[news.id];
  const bool restarted = entry.member.incarnation != news.incarnation;
  entry.member = news;
  entry.change = ++book.last_change;
  entry.changed_at = now;
  entry.told_by = from;
  if (restarted)
    entry.heard_at.reset();
  return true;
}

void Hear(MemberBook& book, const InstanceId& from, TimePoint now) {
  const auto known = book.members.find(from);
  if (known != book.members.end())
    known->second.heard_at = now;
}

void Leave(MemberBook& book, TimePoint) {
  book.self.state = MemberState::kLeaving;
  NoteOwnChange(book);
}

std::vector<const Member*> LiveMembers(const MemberBook& book) {
  std::vector<const Member*> live{&book.self};
  for (const auto& [id, entry] : book.members) {
    if (entry.member.state != MemberState::kGone)
      live.push_back(&entry.member);
  }
  std::sort(live.begin(), live.end(),
            [](const Member* a, const Member* b) { return a->id < b->id; });
  return live;
}

std::vector<const Member*> RankedMembers(const MemberBook& book,
                                         const DataCentreId& data_centre) {
  std::vector<std::pair<uint64_t, const Member*>> scored;
  for (const Member* member : LiveMembers(book)) {
    if (member->data_centre == data_centre) {
      scored.emplace_back(
          RendezvousScore(data_centre.value(), member->id.value()), member);
    }
  }
  // A leaving instance soon has no links, so it is ranked last. Hubs have more
  // to do than others, so the strongest instances come first.
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

size_t OwnRank(const MemberBook& book) {
  const auto ranked = RankedMembers(book, book.self.data_centre);
  const auto own = std::find(ranked.begin(), ranked.end(), &book.self);
  return static_cast<size_t>(own - ranked.begin());
}

std::vector<DataCentreId> KnownDataCentres(const MemberBook& book) {
  std::set<DataCentreId> known{book.self.data_centre};
  for (const auto& [id, entry] : book.members)
    known.insert(entry.member.data_centre);
  return {known.begin(), known.end()};
}

std::vector<InstanceId> DeclareGone(MemberBook& book,
                                    const SilenceLimits& limits,
                                    TimePoint now) {
  NoteDuties(book, now);
  std::vector<InstanceId> gone;
  WatchOwnDataCentre(book, limits, now, gone);
  WatchOtherDataCentres(book, limits, now, gone);
  return gone;
}

void ForgetGone(MemberBook& book, Duration after, TimePoint now) {
  for (auto it = book.members.begin(); it != book.members.end();) {
    const MemberEntry& entry = it->second;
    const bool old = entry.member.state == MemberState::kGone &&
                     now - entry.changed_at > after;
    it = old ? book.members.erase(it) : std::next(it);
  }
}

}  // namespace mangodoor
