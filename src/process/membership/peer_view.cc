#include "process/membership/peer_view.h"

#include <algorithm>

namespace mangodoor {
namespace {

// Reads older than this have no effect on any decision; the bound keeps the
// subtraction of an absurd age from overflowing.
constexpr Duration kOldestReadAge = std::chrono::hours(1);

// The heartbeat was composed after the echoed one had arrived at the peer and
// been held there. The arrival time alone proves nothing: a message can wait
// in a socket buffer for as long as a partition or a pause lasts.
std::optional<TimePoint> EarliestSendTime(const HeartbeatTiming& timing,
                                          TimePoint now,
                                          TimePoint started) {
  if (!timing.echoed || *timing.echoed < started || *timing.echoed > now)
    return std::nullopt;
  if (timing.held < Duration::zero() || timing.held > now - *timing.echoed)
    return std::nullopt;
  return *timing.echoed + timing.held;
}

std::optional<TimePoint> ReadTime(const Heartbeat& heartbeat,
                                  TimePoint sent_at) {
  if (heartbeat.read_age < Duration::zero() ||
      heartbeat.read_age > kOldestReadAge)
    return std::nullopt;
  return sent_at - heartbeat.read_age - kReadAgePerHop;
}

}  // namespace

bool RecordHeartbeat(PeerView& view,
                     const Heartbeat& heartbeat,
                     TimePoint now,
                     TimePoint started) {
  const HeartbeatTiming& timing = heartbeat.timing;
  if (view.stamp && timing.sent <= *view.stamp)
    return false;
  view.stamp = timing.sent;
  view.stamp_arrived = now;
  view.state = heartbeat.state;
  view.fenced = heartbeat.fenced;
  view.version = heartbeat.version;
  view.digest = heartbeat.digest;
  view.list_revision = heartbeat.list_revision;
  view.read_at.reset();
  const auto sent_at = EarliestSendTime(timing, now, started);
  if (!sent_at)
    return true;
  view.last_heard = std::max(view.last_heard.value_or(*sent_at), *sent_at);
  view.read_at = ReadTime(heartbeat, *sent_at);
  return true;
}

HeartbeatTiming TimingFor(const PeerView& view, TimePoint now) {
  HeartbeatTiming timing;
  timing.sent = now;
  timing.echoed = view.stamp;
  if (view.stamp)
    timing.held = now - view.stamp_arrived;
  return timing;
}

bool IsReachable(const PeerView& view, TimePoint now) {
  return view.last_heard && now - *view.last_heard <= kReachableFor;
}

}  // namespace mangodoor
