#ifndef PROCESS_REGISTRY_FEED_READER_H_
#define PROCESS_REGISTRY_FEED_READER_H_

#include <optional>
#include <string>

#include "process/clock.h"
#include "process/registry/platform_store.h"
#include "process/registry/store_replica.h"

namespace mangodoor {

/** State of this instance's reads of the platform's store, one at a time. */
struct FeedReader {
  enum class Phase {
    kIdle,
    kReloading,
    kWatching,
    /** Reads only the revision, while another instance reads the changes. */
    kChecking,
  };
  Phase phase = Phase::kIdle;
  /** When the revision was last checked, or this instance last read. */
  TimePoint checked_at{};
  /** When the latest read was started. */
  TimePoint started{};
  /** The replica's revision when the latest watch was started. */
  StoreRevision watched_from;
  /** The next read starts at this time at the earliest. */
  std::optional<TimePoint> not_before;
  /** Failed reads since the last successful one. */
  int failures = 0;
  /**
   * A watch cannot bring the replica up to date: the store has compacted its
   * history, or its answer is unusable. The whole store is read instead.
   */
  bool needs_reload = false;
  /** Watches with an unusable answer since the last usable one. */
  int unusable_watches = 0;
  /** Reloads that did not end in a usable watch. */
  int vain_reloads = 0;
  StoreReload reload;
  /**
   * When it was first seen that no instance of lower rank reads the store;
   * unset while one does.
   */
  std::optional<TimePoint> lower_rank_idle_since;
};

/** Inputs to the decision whether this instance reads the store. */
struct ReaderInputs {
  TimePoint now;
  /** Rank among the instances of the data centre; rank 0 reads if it can. */
  size_t rank = 0;
  /**
   * An instance of lower rank, thus closer to the leader, reports that it
   * reads, and its copy was known to be current a short time ago.
   */
  bool lower_rank_reads = false;
  /** The revision of the replica; 0 before the first full copy. */
  StoreRevision revision;
  /**
   * Since when a peer has had changes that the replica lacks; unset if none
   * has.
   */
  std::optional<TimePoint> behind_since;
  /**
   * Since when a check has shown that the store has changes that the replica
   * lacks; unset if none has.
   */
  std::optional<TimePoint> store_ahead_since;
};

/** The read to start now. */
struct ReadStart {
  enum class Kind { kNone, kPage, kWatch, kRevision };
  Kind kind = Kind::kNone;
  std::string after_key;
  ReadConsistency consistency = ReadConsistency::kCurrent;
  /** In the era of the replica. */
  uint64_t after_revision = 0;
  std::chrono::milliseconds wait{};
};

/** How long the store waits for changes before it answers a watch. */
constexpr std::chrono::milliseconds kWatchWait{2000};

/**
 * An instance whose copy has not been known to be current for this long does
 * not count as a reader. While it reads, each watch ends within kWatchWait, and
 * a heartbeat reports the age of the copy.
 */
constexpr Duration kFeedMaxAge = std::chrono::milliseconds(2500);

/** Chooses the read to start now, if any, and records its start. */
ReadStart PlanRead(FeedReader& reader, const ReaderInputs& inputs);

/** The next page of the running reload. */
ReadStart NextPage(const FeedReader& reader);

/**
 * Records the end of a read, but not of a page that is followed by another one.
 * After a watch with changes, the next one is delayed, so that it returns
 * further changes together.
 */
void FinishRead(FeedReader& reader,
                StoreAnswer::Kind kind,
                bool had_changes,
                TimePoint now);

/** True if a read is running or follows soon, and the last one succeeded. */
bool IsReading(const FeedReader& reader);

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_FEED_READER_H_
