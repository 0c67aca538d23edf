#ifndef PROCESS_REGISTRY_FEED_READER_H_
#define PROCESS_REGISTRY_FEED_READER_H_

#include <optional>
#include <string>

#include "process/clock.h"
#include "process/registry/platform_store.h"
#include "process/registry/store_replica.h"

namespace mangodoor {

/** This instance's reads of the platform's store. One runs at a time. */
struct FeedReader {
  enum class Phase { kIdle, kReloading, kWatching };
  Phase phase = Phase::kIdle;
  /** Start of the read under way. */
  TimePoint started{};
  std::optional<TimePoint> not_before;
  /** Reads that failed since the last one that was answered. */
  int failures = 0;
  /** The changes since the replica's revision can only come by a reload. */
  bool history_compacted = false;
  StoreReload reload;
  /** Since when no instance before this one in the order says it reads. */
  std::optional<TimePoint> unread_since;
};

/** What decides whether this instance is to read. */
struct ReaderInputs {
  TimePoint now;
  /** Place among the instances of the data centre; the first one reads. */
  size_t rank = 0;
  /**
   * An instance with a lower rank says that it reads, and its copy was known
   * to be current a short time ago.
   */
  bool lower_rank_reads = false;
  /** The revision of the replica; 0 before the first copy. */
  uint64_t revision = 0;
};

/** The read to start now. */
struct ReadStart {
  enum class Kind { kNone, kPage, kWatch };
  Kind kind = Kind::kNone;
  std::string after_key;
  ReadConsistency consistency = ReadConsistency::kCurrent;
  uint64_t after_revision = 0;
  std::chrono::milliseconds wait{};
};

/** How long the store may hold back the answer to a watch without changes. */
constexpr std::chrono::milliseconds kWatchWait{2000};

/**
 * A copy that was not known to be current for this long is not kept up by
 * anyone: a watch ends within its wait, and a beat brings the news.
 */
constexpr Duration kFeedOverdue = std::chrono::milliseconds(2500);

/** Says which read starts now, and notes that it does. */
ReadStart PlanRead(FeedReader& reader, const ReaderInputs& inputs);

/**
 * Notes the end of a read that did not go on with another page. A watch that
 * brought changes is followed by the next one after a pause, in which further
 * changes gather.
 */
void FinishRead(FeedReader& reader,
                StoreAnswer::Kind kind,
                bool had_changes,
                TimePoint now);

/** True if this instance reads, or has just read and goes on soon. */
bool IsReading(const FeedReader& reader);

}  // namespace mangodoor

#endif  // PROCESS_REGISTRY_FEED_READER_H_
