#include "process/peers/io/peer_registry.h"

#include <utility>

namespace mangodoor {
namespace {

// Two instances that start at the same time need only one connection, so the
// one with the larger id first waits this long for the other to connect.
constexpr Duration kLargerIdDialDelay = std::chrono::milliseconds(300);

// A value in [0, 1). This function and those below it in this namespace are
// called with the registry locked.
double RandomFraction(PeerRegistry& registry) {
  return std::uniform_real_distribution<double>()(registry.random);
}

PeerLinkOrigin OriginOf(const PeerRegistry& registry, const PeerLink& link) {
  return link.handshake.role == PeerRole::kDialler
             ? PeerLinkOrigin{registry.self.id, *link.peer}
             : PeerLinkOrigin{*link.peer, registry.self.id};
}

void ScheduleRetry(PeerRegistry& registry, PeerTarget& target, TimePoint now) {
  target.link.reset();
  target.next_attempt = now + ReconnectDelay(registry.delays, target.failures,
                                             RandomFraction(registry));
  ++target.failures;
}

}  // namespace

std::shared_ptr<PeerLink> FindLink(const PeerRegistry& registry, LinkId link) {
  OrderedLock lock(registry.mutex);
  const auto found = registry.links.find(link);
  return found == registry.links.end() ? nullptr : found->second;
}

std::optional<LinkId> FindLinkTo(const PeerRegistry& registry,
                                 const InstanceId& peer) {
  OrderedLock lock(registry.mutex);
  const auto found = registry.connected.find(peer);
  if (found == registry.connected.end())
    return std::nullopt;
  return found->second;
}

bool AcceptsParts(const PeerRegistry& registry, LinkId link) {
  OrderedLock lock(registry.mutex);
  const auto found = registry.links.find(link);
  return found != registry.links.end() && found->second->accepts_parts;
}

bool AddLink(PeerRegistry& registry,
             LinkId link,
             std::shared_ptr<PeerLink> state) {
  OrderedLock lock(registry.mutex);
  if (!registry.stopped)
    registry.links.emplace(link, std::move(state));
  return !registry.stopped;
}

Registration RegisterPeer(PeerRegistry& registry, LinkId link) {
  OrderedLock lock(registry.mutex);
  const auto found = registry.links.find(link);
  if (found == registry.links.end())
    return {};
  PeerLink& state = *found->second;
  state.peer = state.handshake.peer->instance;
  state.accepts_parts = state.handshake.peer->accepts_parts;
  Registration registration;
  const auto existing = registry.connected.find(*state.peer);
  if (existing != registry.connected.end()) {
    if (!ReplacesLink(OriginOf(registry, state),
                      OriginOf(registry, *registry.links.at(existing->second))))
      return {};
    registration.replaced = existing->second;
  }
  registry.connected[*state.peer] = link;
  const auto target = registry.targets.find(*state.peer);
  if (target != registry.targets.end())
    target->second.failures = 0;
  registration.in_use = true;
  return registration;
}

std::optional<InstanceId> RemoveLink(PeerRegistry& registry,
                                     LinkId link,
                                     TimePoint now) {
  OrderedLock lock(registry.mutex);
  const auto found = registry.links.find(link);
  if (found == registry.links.end())
    return std::nullopt;
  std::optional<InstanceId> peer = found->second->peer;
  registry.links.erase(found);
  for (auto& [id, target] : registry.targets) {
    if (target.link == link)
      ScheduleRetry(registry, target, now);
  }
  if (!peer)
    return std::nullopt;
  const auto used = registry.connected.find(*peer);
  if (used == registry.connected.end() || used->second != link)
    return std::nullopt;
  registry.connected.erase(used);
  const auto target = registry.targets.find(*peer);
  if (target != registry.targets.end() && !target->second.link)
    ScheduleRetry(registry, target->second, now);
  return peer;
}

std::vector<LinkId> SetTargets(PeerRegistry& registry,
                               const std::vector<Instance>& peers,
                               TimePoint now) {
  OrderedLock lock(registry.mutex);
  std::map<InstanceId, PeerTarget> old = std::move(registry.targets);
  registry.targets.clear();
  for (const Instance& peer : peers) {
    if (peer.id == registry.self.id)
      continue;
    PeerTarget target;
    target.next_attempt =
        now + (peer.id < registry.self.id ? kLargerIdDialDelay : Duration());
    if (const auto known = old.find(peer.id); known != old.end()) {
      target = known->second;
      old.erase(known);
    }
    target.instance = peer;
    registry.targets.emplace(peer.id, std::move(target));
  }
  std::vector<LinkId> unwanted;
  for (const auto& [peer, target] : old) {
    if (target.link)
      unwanted.push_back(*target.link);
  }
  return unwanted;
}

std::vector<Instance> FindDueTargets(const PeerRegistry& registry,
                                     TimePoint now) {
  OrderedLock lock(registry.mutex);
  std::vector<Instance> due;
  for (const auto& [peer, target] : registry.targets) {
    if (!registry.stopped && registry.connected.count(peer) == 0 &&
        !target.link && now >= target.next_attempt)
      due.push_back(target.instance);
  }
  return due;
}

void SetTargetLink(PeerRegistry& registry,
                   const InstanceId& peer,
                   LinkId link) {
  OrderedLock lock(registry.mutex);
  const auto found = registry.targets.find(peer);
  if (found != registry.targets.end())
    found->second.link = link;
}

std::vector<TimedOutLink> FindTimedOutLinks(const PeerRegistry& registry,
                                            Duration handshake_timeout,
                                            Duration silence_timeout,
                                            TimePoint now) {
  OrderedLock lock(registry.mutex);
  std::vector<TimedOutLink> timed_out;
  for (const auto& [link, state] : registry.links) {
    const TimePoint heard =
        state->peer ? state->last_received : state->opened_at;
    const Duration timeout = state->peer ? silence_timeout : handshake_timeout;
    if (now - heard > timeout)
      timed_out.push_back({link, state->peer, now - heard});
  }
  return timed_out;
}

std::vector<LinkId> AllLinks(const PeerRegistry& registry) {
  OrderedLock lock(registry.mutex);
  std::vector<LinkId> all;
  for (const auto& [link, state] : registry.links)
    all.push_back(link);
  return all;
}

}  // namespace mangodoor
