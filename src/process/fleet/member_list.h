#ifndef PROCESS_FLEET_MEMBER_LIST_H_
#define PROCESS_FLEET_MEMBER_LIST_H_

#include <map>
#include <optional>
#include <vector>

#include "process/clock.h"
#include "process/fleet/member.h"

namespace mangodoor {

/** What this instance knows of one other. */
struct MemberEntry {
  Member member;
  /** Number of the change that brought this state. */
  uint64_t change = 0;
  TimePoint changed_at{};
  /** Who told this state; empty if this instance found it. */
  InstanceId learned_from;
  /** The last message that came from it directly. */
  std::optional<TimePoint> last_heard;
};

/**
 * Everything that this instance knows of the fleet. Changes are numbered, so
 * that each link can be sent what it has not seen yet.
 */
struct MemberList {
  Member self;
  std::map<InstanceId, MemberEntry> members;
  uint64_t last_change = 0;
  uint64_t own_change = 0;
  /** Silence counts from here on; moved after a pause of this process. */
  TimePoint watching_since{};
  /** Since when this instance has to watch what it watches as a hub. */
  std::optional<TimePoint> hub_since;
  /** Since when this instance has to watch the other data centres. */
  std::optional<TimePoint> leader_since;
};

/** How long until an instance counts as gone. */
struct SilenceLimits {
  /** Without a message from an instance that is linked or should be. */
  Duration instance = std::chrono::milliseconds(1500);
  /** Without a message from any instance of another data centre. */
  Duration data_centre = std::chrono::milliseconds(2500);
};

/** Instances that keep the links of a data centre, in order. */
constexpr size_t kHubsPerDataCentre = 3;

/** Starts the book with this instance alone. */
MemberList MakeMemberList(Member self);

/**
 * Takes over what `from` tells. News that this instance is gone, while it
 * runs, makes it raise its incarnation. Returns true if anything changed.
 */
bool ApplyUpdate(MemberList& member_list,
                 const InstanceId& from,
                 const Member& update,
                 TimePoint now);

/** Notes a message that came from an instance directly. */
void RecordMessage(MemberList& member_list,
                   const InstanceId& from,
                   TimePoint now);

/** Begins this instance's planned stop. */
void Leave(MemberList& member_list, TimePoint now);

/** All instances that are not gone, this one included, by id. */
std::vector<const Member*> LiveMembers(const MemberList& member_list);

/** Those of one data centre, the hubs first. */
std::vector<const Member*> RankedMembers(const MemberList& member_list,
                                         const DataCentreId& data_centre);

/** This instance's place among those of its data centre; 0 is the lead. */
size_t OwnRank(const MemberList& member_list);

/** All data centres of which any instance is known, in order. */
std::vector<DataCentreId> KnownDataCentres(const MemberList& member_list);

/**
 * Declares instances gone that this one is to watch and has not heard: a hub
 * watches its data centre, others watch the hubs, and the lead watches the
 * other data centres as a whole. Returns those declared gone.
 */
std::vector<InstanceId> DeclareGone(MemberList& member_list,
                                    const SilenceLimits& limits,
                                    TimePoint now);

/** Drops instances that have been gone for long. */
void ForgetGone(MemberList& member_list, Duration after, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_MEMBER_LIST_H_
