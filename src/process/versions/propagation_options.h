#ifndef PROCESS_VERSIONS_PROPAGATION_OPTIONS_H_
#define PROCESS_VERSIONS_PROPAGATION_OPTIONS_H_

namespace mangodoor {

/**
 * Rules of the propagation of versions. Tests switch off single rules to show
 * that their checks detect a missing rule. Programs leave all rules on, except
 * that operators can switch off fence_when_stale for a fleet.
 */
struct PropagationOptions {
  bool reject_lower_versions = true;
  /**
   * Reject a document that has the number of the version in force but another
   * digest.
   */
  bool reject_conflicts = true;
  /** Refuse keyed requests while the configuration is not fresh. */
  bool fence_when_stale = true;
  /**
   * Compute the age of a peer's heartbeat from the time stamp of this instance
   * that it echoes, not from its arrival.
   */
  bool bound_message_age = true;
  /** Enter service only after contact with peers, unless there are none. */
  bool join_needs_peers = true;
  /** Request documents from peers that have a higher version. */
  bool request_from_peers = true;
};

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_PROPAGATION_OPTIONS_H_
