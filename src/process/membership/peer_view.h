#ifndef PROCESS_MEMBERSHIP_PEER_VIEW_H_
#define PROCESS_MEMBERSHIP_PEER_VIEW_H_

#include <optional>
#include <string>

#include "process/clock.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/** A peer is reachable for this long after it was last heard from. */
constexpr Duration kReachableFor = std::chrono::seconds(1);

/** Added to the age of a confirmed read each time it is relayed. */
constexpr Duration kReadAgePerHop = std::chrono::milliseconds(50);

/** What the latest heartbeats of one peer report. */
struct PeerView {
  InstanceState state = InstanceState::kJoining;
  bool fenced = false;
  uint64_t version = 0;
  std::string digest;
  uint64_t list_revision = 0;
  /** The latest time at which the peer is known to have been running. */
  std::optional<TimePoint> last_heard;
  /** When the configuration service last confirmed the peer's version. */
  std::optional<TimePoint> read_at;
  /** `sent` of its latest heartbeat, by its own clock; echoed to the peer. */
  std::optional<TimePoint> sent_stamp;
  TimePoint sent_stamp_received_at{};
  /** When this instance last sent the list to the peer. */
  std::optional<TimePoint> list_sent_at;
};

/**
 * Records a heartbeat. Returns false for a duplicate or one that arrives out of
 * order. `started` is the first reading of this instance's clock: an echo of an
 * earlier time was meant for a previous process with the same id.
 */
bool RecordHeartbeat(PeerView& view,
                     const Heartbeat& heartbeat,
                     TimePoint now,
                     TimePoint started);

/** Timing for a heartbeat to the peer that `view` describes. */
HeartbeatTiming TimingFor(const PeerView& view, TimePoint now);

bool IsReachable(const PeerView& view, TimePoint now);

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_PEER_VIEW_H_
