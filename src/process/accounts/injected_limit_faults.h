#ifndef PROCESS_ACCOUNTS_INJECTED_LIMIT_FAULTS_H_
#define PROCESS_ACCOUNTS_INJECTED_LIMIT_FAULTS_H_

namespace mangodoor {

/**
 * Deliberate faults in the rate limiter. Only tests set them, to show that
 * their oracle finds each fault.
 */
struct InjectedLimitFaults {
  bool grantor_keeps_lent_capacity = false;
  bool borrower_counts_from_arrival = false;
  bool unanswered_request_is_kept = false;
  bool repeated_grant_counts = false;
  bool ended_lease_stays_in_use = false;
  bool share_begins_with_full_bucket = false;
  bool new_process_uses_share_at_once = false;
  bool new_process_trusts_first_version = false;
  bool pause_is_not_noticed = false;
  bool share_changes_without_overlap = false;
  bool tokens_above_cap_are_kept = false;
  bool late_request_is_admitted = false;
  bool refused_request_stays_in_queue = false;
};

}  // namespace mangodoor

#endif  // PROCESS_ACCOUNTS_INJECTED_LIMIT_FAULTS_H_
