#include "process/registry/feed_reader.h"

#include <algorithm>

#include "process/fleet/member_list.h"

namespace mangodoor {
namespace {

// Changes come in bursts. Waiting for this time reads several of them with one
// request; they have to be in force only within a few seconds.
constexpr Duration kBatchingDelay = std::chrono::milliseconds(250);

// Refused requests cost, too, so retries back off during an outage.
constexpr Duration kFirstRetryDelay = std::chrono::milliseconds(300);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1500);

constexpr std::chrono::milliseconds kShortestWait{1};

// While an instance of lower rank reads, this one retries less often.
constexpr Duration kFollowerRetryDelay = std::chrono::milliseconds(2500);

// Each rank waits this much longer than the one before it to take over.
constexpr Duration kTakeOverDelayPerRank = std::chrono::milliseconds(300);
// Added for instances that are not hubs: they read only if no hub of the data
// centre can.
constexpr Duration kNonHubTakeOverDelay = std::chrono::milliseconds(2500);

// A reader that is cut off from the store and from other data centres does not
// notice it before its watch ends, and the changes that the others lack are in
// force in time only if one of them looks for itself.
constexpr Duration kCheckInterval = std::chrono::milliseconds(1100);
constexpr size_t kCheckingRank = 1;
// The reader gets a change within milliseconds, and pushes it at once, unless
// it waits to read several of them together.
constexpr Duration kAheadReadDelay = std::chrono::milliseconds(300);

// Peers answer a request for changes within milliseconds. A replica that stays
// behind longer does not get them, for example because they are larger than a
// message may be. The same request would get no answer either.
constexpr Duration kBehindReadDelay = std::chrono::milliseconds(2500);

Duration TakeOverDelay(size_t rank) {
  if (rank == 0)
    return Duration::zero();
  const Duration delay = kTakeOverDelayPerRank * static_cast<int64_t>(rank);
  return rank < kHubsPerDataCentre ? delay : delay + kNonHubTakeOverDelay;
}

bool ShouldRead(FeedReader& reader, const ReaderInputs& inputs) {
  if (inputs.lower_rank_reads)
    reader.lower_rank_idle_since.reset();
  else if (!reader.lower_rank_idle_since)
    reader.lower_rank_idle_since = inputs.now;
  const bool peers_do_not_help =
      inputs.behind_since &&
      inputs.now - *inputs.behind_since >= kBehindReadDelay;
  const bool reader_does_not_help =
      inputs.store_ahead_since &&
      inputs.now - *inputs.store_ahead_since >= kAheadReadDelay;
  if (inputs.revision == StoreRevision() || peers_do_not_help ||
      reader_does_not_help)
    return true;
  return reader.lower_rank_idle_since &&
         inputs.now - *reader.lower_rank_idle_since >=
             TakeOverDelay(inputs.rank);
}

/** The delay after `failures` failed reads in a row. */
Duration RetryDelay(int failures) {
  const int doublings = std::clamp(failures - 1, 0, 8);
  return std::min(kMaxRetryDelay, kFirstRetryDelay * (1 << doublings));
}

ReadStart StartReload(FeedReader& reader, const ReaderInputs& inputs) {
  reader.phase = FeedReader::Phase::kReloading;
  reader.reload = StoreReload();
  // A stale read costs a tenth of a current one, and is enough for the first
  // copy: the watch returns the later changes. After a compaction, a stale copy
  // could be older than the compacted revision again.
  if (inputs.revision == 0 && !reader.needs_reload)
    reader.reload.consistency = ReadConsistency::kMayBeStale;
  return NextPage(reader);
}

// A store that was away can have been restored from an older copy. Only an
// answer tells, so the first watch is answered at once.
ReadStart StartWatch(FeedReader& reader, const ReaderInputs& inputs) {
  reader.phase = FeedReader::Phase::kWatching;
  reader.watched_from = inputs.revision;
  ReadStart start;
  start.kind = ReadStart::Kind::kWatch;
  start.after_revision = inputs.revision.number;
  start.wait = reader.failures > 0 ? kShortestWait : kWatchWait;
  return start;
}

bool IsCheckDue(const FeedReader& reader, const ReaderInputs& inputs) {
  return inputs.rank == kCheckingRank && inputs.lower_rank_reads &&
         reader.failures == 0 &&
         inputs.now - reader.checked_at >= kCheckInterval;
}

ReadStart StartCheck(FeedReader& reader, const ReaderInputs& inputs) {
  reader.phase = FeedReader::Phase::kChecking;
  reader.checked_at = inputs.now;
  ReadStart start;
  start.kind = ReadStart::Kind::kRevision;
  return start;
}

}  // namespace

ReadStart PlanRead(FeedReader& reader, const ReaderInputs& inputs) {
  if (reader.phase != FeedReader::Phase::kIdle)
    return {};
  const bool wanted = ShouldRead(reader, inputs);
  // An instance that stops reading must not report to peers that it reads.
  if (!wanted && reader.failures == 0)
    reader.not_before.reset();
  if (!wanted)
    return IsCheckDue(reader, inputs) ? StartCheck(reader, inputs)
                                      : ReadStart();
  reader.checked_at = inputs.now;
  if (reader.not_before && inputs.now < *reader.not_before)
    return {};
  reader.started = inputs.now;
  reader.not_before.reset();
  return inputs.revision == 0 || reader.needs_reload
             ? StartReload(reader, inputs)
             : StartWatch(reader, inputs);
}

ReadStart NextPage(const FeedReader& reader) {
  ReadStart start;
  start.kind = ReadStart::Kind::kPage;
  start.after_key = reader.reload.after_key;
  start.consistency = reader.reload.consistency;
  return start;
}

void FinishRead(FeedReader& reader,
                StoreAnswer::Kind kind,
                bool had_changes,
                TimePoint now) {
  const bool was_reload = reader.phase == FeedReader::Phase::kReloading;
  const bool was_check = reader.phase == FeedReader::Phase::kChecking;
  reader.phase = FeedReader::Phase::kIdle;
  // A check that fails says nothing: the reader reads.
  if (was_check)
    return;
  if (kind == StoreAnswer::Kind::kItems) {
    reader.failures = 0;
    if (was_reload) {
      reader.needs_reload = false;
      ++reader.vain_reloads;
    } else {
      reader.unusable_watches = 0;
      reader.vain_reloads = 0;
    }
    reader.not_before = now + (had_changes ? kBatchingDelay : Duration::zero());
    return;
  }
  if (kind == StoreAnswer::Kind::kCompacted) {
    reader.needs_reload = true;
    // A second reload in a row would probably end in the same way, too.
    reader.not_before =
        now + (reader.vain_reloads > 1 ? RetryDelay(reader.vain_reloads - 1)
                                       : Duration::zero());
    return;
  }
  // The same watch would get the same answer until the store compacts its
  // history, or a longer one. A reload has one state of each key.
  if (kind == StoreAnswer::Kind::kUnusable && !was_reload) {
    reader.needs_reload = true;
    ++reader.unusable_watches;
    reader.not_before = now + RetryDelay(reader.unusable_watches);
    return;
  }
  ++reader.failures;
  const bool is_follower = !reader.lower_rank_idle_since;
  reader.not_before =
      now + (is_follower ? kFollowerRetryDelay : RetryDelay(reader.failures));
}

bool IsReading(const FeedReader& reader) {
  return reader.failures == 0 &&
         (reader.phase == FeedReader::Phase::kReloading ||
          reader.phase == FeedReader::Phase::kWatching ||
          reader.not_before.has_value());
}

}  // namespace mangodoor
