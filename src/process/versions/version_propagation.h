#ifndef PROCESS_VERSIONS_VERSION_PROPAGATION_H_
#define PROCESS_VERSIONS_VERSION_PROPAGATION_H_

#include <vector>

#include "process/membership/membership_table.h"
#include "process/peers/peer_message.h"
#include "process/versions/version_table.h"

namespace mangodoor {

/** How often TickPropagation is to be called. */
constexpr Duration kPropagationTick = std::chrono::milliseconds(50);

/** What is to be done after a call, once no lock is held. */
struct PropagationActions {
  std::vector<OutgoingMessage> messages;
  /** Start a read of the document, or a long poll, with this version known. */
  bool start_poll = false;
  bool start_read = false;
  uint64_t known_version = 0;
  bool read_list = false;
  /** The list in use changed: connect to the peers it now selects. */
  bool list_changed = false;
  /** This instance went from joining into service. */
  bool entered_service = false;
};

struct PropagationInputs {
  TimePoint now;
  /** Peers to send heartbeats to. */
  std::vector<InstanceId> connected;
  /** Spare shares for the heartbeats. */
  std::vector<SpareShare> spare;
  /** How long the entry addresses in force have been the same here. */
  Duration addresses_unchanged{};
  /** From 0 up to 1. */
  double random = 0;
};

/**
 * Looks at the clock, judges freshness, goes into service when allowed, and
 * says which reads, requests and heartbeats are due.
 */
PropagationActions TickPropagation(VersionTable& versions,
                                   MembershipTable& membership,
                                   const PropagationInputs& tick);

/**
 * Handles Heartbeat, DocumentRequest and InstanceListMessage from a peer. A
 * DocumentText is checked first, then goes to AcceptPeerDocument.
 */
PropagationActions HandlePropagationMessage(VersionTable& versions,
                                            MembershipTable& membership,
                                            const InstanceId& from,
                                            const PeerMessage& message,
                                            TimePoint now);

/** A read of the configuration service that ended. */
struct FinishedRead {
  ReadKind kind = ReadKind::kRead;
  TimePoint started;
  /** False if the service could not be read. */
  bool answered = false;
  /** True if the service still has the version that was named as known. */
  bool not_modified = false;
  uint64_t known_version = 0;
  /** What the service has, when it is not the known version. */
  uint64_t service_version = 0;
  std::string service_digest;
};

/**
 * Notes the end of a read. It confirms the version in force if the service has
 * just that one and no reachable peer has a higher one. A document that the
 * read brought was passed to ConsiderVersion or NoteRejected before.
 */
void FinishDocumentRead(VersionTable& versions,
                        const MembershipTable& membership,
                        const FinishedRead& read,
                        TimePoint now,
                        double random);

/** Considers a checked document that a peer sent. */
ApplyOutcome AcceptPeerDocument(VersionTable& versions,
                                const InstanceId& from,
                                const VersionPtr& candidate,
                                WallTime now);

/**
 * Notes that what a peer sent as a document failed its checks. `bad` is the
 * document if its text has the stated digest; it is not asked for again. If
 * the text has another digest, only this peer is at fault.
 */
void RejectPeerDocument(VersionTable& versions,
                        const InstanceId& from,
                        const std::optional<RejectedDocument>& bad);

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_VERSION_PROPAGATION_H_
