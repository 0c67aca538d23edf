#include "process/registry/feed_reader.h"

#include <algorithm>

#include "process/fleet/member_list.h"

namespace mangodoor {
namespace {

// Changes come in bursts. What gathers in this time costs one call, and the
// bound for it to be in force is some seconds.
constexpr Duration kWatchSpacing = std::chrono::milliseconds(250);

// Every call counts, also a refused one, so an outage is not asked away.
constexpr Duration kFirstRetry = std::chrono::milliseconds(300);
constexpr Duration kLongestRetry = std::chrono::milliseconds(1500);

// An instance that others stand in for asks less often whether it may return.
constexpr Duration kFollowerRetry = std::chrono::milliseconds(2500);

// Each later rank waits this much longer for one before it to take over.
constexpr Duration kTakeOverStep = std::chrono::milliseconds(300);
// Instances that are no hubs read only if no hub of the data centre can.
constexpr Duration kTakeOverWithoutHub = std::chrono::milliseconds(2500);

Duration TakeOverDelay(size_t rank) {
  if (rank == 0)
    return Duration::zero();
  const Duration delay = kTakeOverStep * static_cast<int64_t>(rank);
  return rank < kHubsPerDataCentre ? delay : delay + kTakeOverWithoutHub;
}

bool ShouldRead(FeedReader& reader, const ReaderInputs& inputs) {
  if (inputs.lower_rank_reads)
    reader.unread_since.reset();
  else if (!reader.unread_since)
    reader.unread_since = inputs.now;
  if (inputs.revision == 0)
    return true;
  return reader.unread_since &&
         inputs.now - *reader.unread_since >= TakeOverDelay(inputs.rank);
}

Duration RetryDelay(const FeedReader& reader) {
  const int doublings = std::clamp(reader.failures - 1, 0, 8);
  return std::min(kLongestRetry, kFirstRetry * (1 << doublings));
}

ReadStart StartPage(FeedReader& reader, const ReaderInputs& inputs) {
  if (reader.phase != FeedReader::Phase::kReloading)
    reader.reload = StoreReload();
  reader.phase = FeedReader::Phase::kReloading;
  ReadStart start;
  start.kind = ReadStart::Kind::kPage;
  start.after_key = reader.reload.after_key;
  // A copy that lags is enough to begin with: the watch brings the rest. It
  // costs a tenth. After a lost history it would lag behind the gap again.
  start.consistency = inputs.revision == 0 && !reader.history_compacted
                          ? ReadConsistency::kMayBeStale
                          : ReadConsistency::kCurrent;
  return start;
}

ReadStart StartWatch(FeedReader& reader, const ReaderInputs& inputs) {
  reader.phase = FeedReader::Phase::kWatching;
  ReadStart start;
  start.kind = ReadStart::Kind::kWatch;
  start.after_revision = inputs.revision;
  start.wait = kWatchWait;
  return start;
}

}  // namespace

ReadStart PlanRead(FeedReader& reader, const ReaderInputs& inputs) {
  if (reader.phase != FeedReader::Phase::kIdle)
    return {};
  const bool wanted = ShouldRead(reader, inputs);
  // Peers must not count on a reader that has stopped.
  if (!wanted && reader.failures == 0)
    reader.not_before.reset();
  if (!wanted || (reader.not_before && inputs.now < *reader.not_before))
    return {};
  reader.started = inputs.now;
  reader.not_before.reset();
  return inputs.revision == 0 || reader.history_compacted
             ? StartPage(reader, inputs)
             : StartWatch(reader, inputs);
}

void FinishRead(FeedReader& reader,
                StoreAnswer::Kind kind,
                bool had_changes,
                TimePoint now) {
  const bool was_reload = reader.phase == FeedReader::Phase::kReloading;
  reader.phase = FeedReader::Phase::kIdle;
  if (kind == StoreAnswer::Kind::kItems) {
    reader.failures = 0;
    if (was_reload)
      reader.history_compacted = false;
    reader.not_before = now + (had_changes ? kWatchSpacing : Duration::zero());
    return;
  }
  if (kind == StoreAnswer::Kind::kCompacted) {
    reader.history_compacted = true;
    reader.not_before = now;
    return;
  }
  ++reader.failures;
  const bool follows = !reader.unread_since;
  reader.not_before = now + (follows ? kFollowerRetry : RetryDelay(reader));
}

bool IsReading(const FeedReader& reader) {
  return reader.failures == 0 && (reader.phase != FeedReader::Phase::kIdle ||
                                  reader.not_before.has_value());
}

}  // namespace mangodoor
