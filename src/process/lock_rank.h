#ifndef PROCESS_LOCK_RANK_H_
#define PROCESS_LOCK_RANK_H_

namespace mangodoor {

/**
 * The order in which locks are taken: a thread may only take a lock whose rank
 * is higher than every rank that it holds. Every lock of an instance has one of
 * these ranks; locks that no thread holds together can share one.
 */
enum class LockRank {
  kFeedApply = 5,
  kVersion = 10,
  kMembership = 20,
  kFleet = 22,
  kFeed = 25,
  kAccount = 30,
  kServer = 40,
  kConnection = 50,
  kPeer = 55,
  kAudit = 60,
  kStandin = 70,
};

}  // namespace mangodoor

#endif  // PROCESS_LOCK_RANK_H_
