#ifndef PROCESS_VERSIONS_VERSION_PROPAGATION_H_
#define PROCESS_VERSIONS_VERSION_PROPAGATION_H_

#include <vector>

#include "process/membership/membership_table.h"
#include "process/peers/peer_message.h"
#include "process/versions/version_table.h"

namespace mangodoor {

/** How often TickPropagation must be called. */
constexpr Duration kPropagationTick = std::chrono::milliseconds(50);

/** What the caller of a function below must do next, with no lock held. */
struct PropagationActions {
  std::vector<OutgoingMessage> messages;
  /** Start a long poll of the configuration service, with `known_version`. */
  bool start_poll = false;
  /** Start a read of the configuration service, with `known_version`. */
  bool start_read = false;
  uint64_t known_version = 0;
  /** Read the platform's list of instances. */
  bool read_list = false;
  /** The list in use changed: connect to the peers now selected from it. */
  bool list_changed = false;
  /** This instance was joining and is now in service. */
  bool entered_service = false;
};

/** Inputs of TickPropagation. */
struct PropagationInputs {
  TimePoint now;
  /** Peers to send heartbeats to. */
  std::vector<InstanceId> connected;
  /** Spare tokens of client accounts, which the heartbeats offer to peers. */
  std::vector<AccountSpareTokens> spare;
  /** How long the entry addresses in force here have been unchanged. */
  Duration addresses_unchanged{};
  /** Random number in [0, 1). */
  double random = 0;
};

/**
 * Detects pauses of the process, updates freshness, enters service when
 * allowed, and determines which reads, requests and heartbeats are due.
 */
PropagationActions TickPropagation(VersionTable& versions,
                                   MembershipTable& membership,
                                   const PropagationInputs& inputs);

/**
 * Handles a Heartbeat, DocumentRequest or InstanceListMessage from a peer. The
 * caller checks a DocumentText itself and passes it to AcceptPeerDocument or
 * RejectPeerDocument.
 */
PropagationActions HandlePropagationMessage(VersionTable& versions,
                                            MembershipTable& membership,
                                            const InstanceId& from,
                                            const PeerMessage& message,
                                            TimePoint now);

/** A completed read of the configuration service. */
struct FinishedRead {
  ReadKind kind = ReadKind::kRead;
  TimePoint started;
  /** False if the service could not be read. */
  bool answered = false;
  /** True if the service still has `known_version`. */
  bool not_modified = false;
  uint64_t known_version = 0;
  /** Version and digest of the document that the service returned, if any. */
  uint64_t service_version = 0;
  std::string service_digest;
};

/**
 * Records the end of a read. The read confirms the version in force if the
 * service has exactly this version and no reachable peer has a higher one that
 * was not rejected. If the read returned a document, the caller must
 * pass it to AdoptVersionIfNewer or AddRejectedDocument first.
 */
void FinishDocumentRead(VersionTable& versions,
                        const MembershipTable& membership,
                        const FinishedRead& read,
                        TimePoint now,
                        double random);

/**
 * Ends the request to `from`, and puts the checked document that it sent in
 * force if it is newer.
 */
ApplyOutcome AcceptPeerDocument(VersionTable& versions,
                                const InstanceId& from,
                                const VersionPtr& candidate,
                                WallTime now);

/**
 * Ends the request to `from`, which sent an invalid document. `rejected` is set
 * if the text has the stated digest; the document is then not requested again
 * from any peer. If the digest differs, only this peer is at fault, and
 * `rejected` has no value.
 */
void RejectPeerDocument(VersionTable& versions,
                        const InstanceId& from,
                        const std::optional<RejectedDocument>& rejected);

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_VERSION_PROPAGATION_H_
