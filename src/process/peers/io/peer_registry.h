#ifndef PROCESS_PEERS_IO_PEER_REGISTRY_H_
#define PROCESS_PEERS_IO_PEER_REGISTRY_H_

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "connection/io/peer_handshake.h"
#include "connection/message_bucket.h"
#include "connection/peer_link.h"
#include "process/membership/membership.h"
#include "process/ordered_mutex.h"
#include "process/peers/io/peer_sockets.h"

namespace mangodoor {

/** One connection; handshake and bucket are used on its strand only. */
struct PeerLink {
  PeerHandshake handshake;
  MessageBucket bucket;
  /** The registry's mutex guards the rest. */
  TimePoint opened_at{};
  TimePoint last_received{};
  /** Set once authenticated. */
  std::optional<InstanceId> peer;
};

/** A peer to keep a connection to. */
struct PeerTarget {
  Instance instance;
  int failures = 0;
  TimePoint next_attempt{};
  /** The attempt under way. */
  std::optional<LinkId> attempt;
};

/** Which connections there are, and which ones are wanted. */
struct PeerRegistry {
  mutable OrderedMutex mutex{LockRank::kPeer};
  Instance self;
  ReconnectDelays delays;
  std::unordered_map<LinkId, std::shared_ptr<PeerLink>> links;
  /** The one connection in use for each authenticated peer. */
  std::map<InstanceId, LinkId> connected;
  std::map<InstanceId, PeerTarget> targets;
  std::minstd_rand random{std::random_device()()};
  bool stopped = false;
};

std::shared_ptr<PeerLink> FindLink(const PeerRegistry& registry, LinkId link);

/** The connection in use to `peer`. */
std::optional<LinkId> FindLinkTo(const PeerRegistry& registry,
                                 const InstanceId& peer);

/** Notes a connection that opened; false after the stop. */
bool AddLink(PeerRegistry& registry,
             LinkId link,
             std::shared_ptr<PeerLink> state);

/** What became of a connection whose peer proved its identity. */
struct Registration {
  /** False if another connection to the same peer stays in use. */
  bool in_use = false;
  /** A connection that this one replaces. */
  std::optional<LinkId> replaced;
};

Registration RegisterPeer(PeerRegistry& registry, LinkId link);

/** Forgets a connection. Returns the peer that was lost with it, if any. */
std::optional<InstanceId> RemoveLink(PeerRegistry& registry,
                                     LinkId link,
                                     TimePoint now);

/**
 * Replaces the targets. Returns the connections that this instance opened to
 * peers that are no longer wanted.
 */
std::vector<LinkId> SetTargets(PeerRegistry& registry,
                               const std::vector<Instance>& peers,
                               TimePoint now);

/** Targets to connect to now. */
std::vector<Instance> FindDueTargets(const PeerRegistry& registry,
                                     TimePoint now);

/** Notes the connection that is about to be opened for a due target. */
void RecordAttempt(PeerRegistry& registry, const InstanceId& peer, LinkId link);

/** Connections that are silent, or whose handshake takes too long. */
std::vector<LinkId> FindTimedOutLinks(const PeerRegistry& registry,
                                      Duration handshake_timeout,
                                      Duration silence_timeout,
                                      TimePoint now);

std::vector<LinkId> AllLinks(const PeerRegistry& registry);

}  // namespace mangodoor

#endif  // PROCESS_PEERS_IO_PEER_REGISTRY_H_
