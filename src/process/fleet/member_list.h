#ifndef PROCESS_FLEET_MEMBER_LIST_H_
#define PROCESS_FLEET_MEMBER_LIST_H_

#include <map>
#include <optional>
#include <vector>

#include "process/clock.h"
#include "process/fleet/member.h"

namespace mangodoor {

/** What this instance knows about another one. */
struct MemberEntry {
  Member member;
  /** Number of the latest change of `member`. */
  uint64_t change = 0;
  TimePoint changed_at{};
  /** Sender of that change; empty if this instance declared it gone. */
  InstanceId learned_from;
  /** When the last message from the instance itself was received. */
  std::optional<TimePoint> last_heard;
};

/**
 * All members of the fleet that this instance knows. Changes are numbered, so
 * that each link is sent only the changes that it has not carried yet.
 */
struct MemberList {
  Member self;
  std::map<InstanceId, MemberEntry> members;
  /** Number of the latest change, and of the latest one of `self`. */
  uint64_t last_change = 0;
  uint64_t own_change = 0;
  /** Silence before this time is ignored; set again after a process pause. */
  TimePoint watching_since{};
  /** Members that were known to be leaving before they were gone. */
  uint64_t left = 0;
  /** When this instance became a hub; unset if it is not one. */
  std::optional<TimePoint> hub_since;
  /** When this instance became the leader; unset if it is not. */
  std::optional<TimePoint> leader_since;
};

/** Time without a message after which instances are declared gone. */
struct SilenceLimits {
  /** For a single instance that is, or should be, linked to this one. */
  Duration instance = std::chrono::milliseconds(1500);
  /** For another data centre: no message from any of its instances. */
  Duration data_centre = std::chrono::milliseconds(2500);
};

/** Hubs are the first by rank; all others of their data centre link to them. */
constexpr size_t kHubsPerDataCentre = 3;

/** Makes a list that holds only this instance. */
MemberList MakeMemberList(Member self);

/**
 * Applies an update that `from` sent. An update that supersedes this instance's
 * own state, for example one that says it is gone, is refuted by a higher
 * incarnation. Returns true if anything changed.
 */
bool ApplyUpdate(MemberList& member_list,
                 const InstanceId& from,
                 const Member& update,
                 TimePoint now);

/** Records that a message was received from an instance itself. */
void RecordMessage(MemberList& member_list,
                   const InstanceId& from,
                   TimePoint now);

/** Marks this instance as leaving. */
void SetLeaving(MemberList& member_list, TimePoint now);

/** All instances that are not gone, this one included, ordered by id. */
std::vector<const Member*> LiveMembers(const MemberList& member_list);

/** Live members of a data centre, ordered by rank: the hubs come first. */
std::vector<const Member*> RankedMembers(const MemberList& member_list,
                                         const DataCentreId& data_centre);

/** This instance's rank in its data centre; 0 is the leader. */
size_t OwnRank(const MemberList& member_list);

/** Data centres of all known instances, gone ones included, sorted. */
std::vector<DataCentreId> KnownDataCentres(const MemberList& member_list);

/**
 * Declares silent instances gone, and returns them. A hub checks the instances
 * of its data centre, other instances check the hubs, and the leader also
 * checks the other data centres, each as a whole.
 */
std::vector<InstanceId> DeclareGone(MemberList& member_list,
                                    const SilenceLimits& limits,
                                    TimePoint now);

/** Removes instances that have been gone for longer than `after`. */
void ForgetGone(MemberList& member_list, Duration after, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_MEMBER_LIST_H_
