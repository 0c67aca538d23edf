#include "connection/peer_link.h"

#include <algorithm>

namespace mangodoor {
namespace {

constexpr int kMaxDoublings = 16;

}  // namespace

bool ReplacesLink(const PeerLinkOrigin& fresh, const PeerLinkOrigin& existing) {
  if (fresh.opened_by == existing.opened_by)
    return true;
  return fresh.opened_by < fresh.accepted_by;
}

Duration ReconnectDelay(const ReconnectDelays& delays,
                        int failures,
                        double random) {
  const int doublings = std::clamp(failures, 0, kMaxDoublings);
  const Duration doubled = Duration(delays.first) * (int64_t{1} << doublings);
  const Duration delay = std::min(doubled, Duration(delays.max));
  return std::chrono::duration_cast<Duration>(delay * (0.5 + random / 2));
}

}  // namespace mangodoor
