#include "process/membership/peer_view.h"

#include <algorithm>

namespace mangodoor {
namespace {

// Older reads affect no decision; the limit prevents an overflow if a peer
// reports an absurd age.
constexpr Duration kOldestReadAge = std::chrono::hours(1);

// The peer sent the heartbeat after it had received the echoed one and held it
// for `held`. The time of arrival proves nothing, since a message can wait in a
// socket buffer for as long as a partition or a pause lasts.
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
  if (view.sent_stamp && timing.sent <= *view.sent_stamp)
    return false;
  view.sent_stamp = timing.sent;
  view.sent_stamp_received_at = now;
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
  timing.echoed = view.sent_stamp;
  if (view.sent_stamp)
    timing.held = now - view.sent_stamp_received_at;
  return timing;
}

bool IsReachable(const PeerView& view, TimePoint now) {
  return view.last_heard && now - *view.last_heard <= kReachableFor;
}

}  // namespace mangodoor
