#ifndef PROCESS_VERSIONS_PROPAGATION_OPTIONS_H_
#define PROCESS_VERSIONS_PROPAGATION_OPTIONS_H_

namespace mangodoor {

/**
 * Rules of the spread of versions that a test can switch off, to show that its
 * checks notice. Programs leave all of them on.
 */
struct PropagationOptions {
  bool reject_lower_versions = true;
  bool reject_conflicts = true;
  bool fence_when_stale = true;
  /** Take a heartbeat's age from its echo, not from its arrival. */
  bool bound_message_age = true;
  bool join_needs_peers = true;
  bool request_from_peers = true;
};

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_PROPAGATION_OPTIONS_H_
