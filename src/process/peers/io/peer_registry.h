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

/** State of one connection. */
struct PeerLink {
  /**
   * Handshake and bucket are used only on the connection's strand, except for
   * `handshake.role`, which does not change.
   */
  PeerHandshake handshake;
  MessageBucket bucket;
  /** The parts of a message that have arrived, also used on the strand. */
  std::string parts;
  /** The fields below are guarded by the registry's mutex. */
  TimePoint opened_at{};
  TimePoint last_received{};
  /** Set once the peer is authenticated. */
  std::optional<InstanceId> peer;
  /** The peer can receive messages in parts. */
  bool accepts_parts = false;
};

/** A peer to keep a connection to. */
struct PeerTarget {
  Instance instance;
  /** Retries scheduled since a connection to it was last authenticated. */
  int failures = 0;
  TimePoint next_attempt{};
  /** The connection to the peer that this instance is opening or has opened. */
  std::optional<LinkId> link;
};

/** The existing connections, and the peers to keep a connection to. */
struct PeerRegistry {
  mutable OrderedMutex mutex{LockRank::kPeer};
  Instance self;
  ReconnectDelays delays;
  std::unordered_map<LinkId, std::shared_ptr<PeerLink>> links;
  /** The connection in use for each authenticated peer. */
  std::map<InstanceId, LinkId> connected;
  std::map<InstanceId, PeerTarget> targets;
  std::minstd_rand random{std::random_device()()};
  bool stopped = false;
};

std::shared_ptr<PeerLink> FindLink(const PeerRegistry& registry, LinkId link);

/** The connection in use to `peer`, if there is one. */
std::optional<LinkId> FindLinkTo(const PeerRegistry& registry,
                                 const InstanceId& peer);

/** True if the peer of a connection can receive messages in parts. */
bool AcceptsParts(const PeerRegistry& registry, LinkId link);

/**
 * Adds a connection that was accepted or is about to be opened. Does nothing
 * and returns false once stopped.
 */
bool AddLink(PeerRegistry& registry,
             LinkId link,
             std::shared_ptr<PeerLink> state);

/** Result of RegisterPeer. */
struct Registration {
  /**
   * False if another connection to the same peer stays in use, or if this one
   * was closed in the meantime.
   */
  bool in_use = false;
  /** The connection that this one replaces, to be closed. */
  std::optional<LinkId> replaced;
};

/** Registers a connection whose peer has been authenticated. */
Registration RegisterPeer(PeerRegistry& registry, LinkId link);

/**
 * Removes a connection. Returns its peer if this was the connection in use to
 * it. Schedules the next attempt if the peer is a target.
 */
std::optional<InstanceId> RemoveLink(PeerRegistry& registry,
                                     LinkId link,
                                     TimePoint now);

/**
 * Makes `peers`, except this instance itself, the targets. Returns the
 * connections that this instance opened to peers that are no longer targets.
 */
std::vector<LinkId> SetTargets(PeerRegistry& registry,
                               const std::vector<Instance>& peers,
                               TimePoint now);

/** Targets without a connection whose next attempt is due. */
std::vector<Instance> FindDueTargets(const PeerRegistry& registry,
                                     TimePoint now);

/** Sets the connection that is about to be opened to a target. */
void SetTargetLink(PeerRegistry& registry, const InstanceId& peer, LinkId link);

/** A connection to be closed because its peer sends nothing. */
struct TimedOutLink {
  LinkId link = 0;
  /** Unset if the peer is not authenticated. */
  std::optional<InstanceId> peer;
  Duration silent_for{};
};

/**
 * Connections whose peer has been silent for longer than `silence_timeout`, or
 * whose handshake has taken longer than `handshake_timeout`.
 */
std::vector<TimedOutLink> FindTimedOutLinks(const PeerRegistry& registry,
                                            Duration handshake_timeout,
                                            Duration silence_timeout,
                                            TimePoint now);

std::vector<LinkId> AllLinks(const PeerRegistry& registry);

}  // namespace mangodoor

#endif  // PROCESS_PEERS_IO_PEER_REGISTRY_H_
