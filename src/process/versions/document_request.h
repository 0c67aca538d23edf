#ifndef PROCESS_VERSIONS_DOCUMENT_REQUEST_H_
#define PROCESS_VERSIONS_DOCUMENT_REQUEST_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "process/clock.h"
#include "version/ids.h"

namespace mangodoor {

/**
 * If a requested document has not arrived after this time, it is requested
 * again, from another peer if there is one.
 */
constexpr Duration kDocumentTimeout = std::chrono::milliseconds(500);

/** The latest request for a document. At most one is pending at a time. */
struct DocumentRequestState {
  /** The peer that was asked; unset once it has sent a document. */
  std::optional<InstanceId> requested_from;
  TimePoint requested_at{};
  uint64_t version = 0;
  /** Peers already asked for `version` or a lower one. */
  std::set<InstanceId> tried;
};

/** A reachable peer that has a higher version than this instance. */
struct DocumentHolder {
  InstanceId id;
  bool in_own_data_centre = false;
  uint64_t version = 0;
};

/** The request to send. */
struct DocumentRequestPlan {
  InstanceId peer;
  uint64_t version = 0;
};

/**
 * Chooses the peer to send a request to now, and records the request as
 * pending. Prefers peers not yet asked for the version they hold, so that
 * a different peer is asked after a time-out, then higher versions, then peers
 * in this data centre. No value while a request is pending, or if there are no
 * holders.
 */
std::optional<DocumentRequestPlan> PlanDocumentRequest(
    DocumentRequestState& state,
    const std::vector<DocumentHolder>& holders,
    TimePoint now);

/** Ends the pending request if `peer`, which sent a document, is its target. */
void FinishDocumentRequest(DocumentRequestState& state, const InstanceId& peer);

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_DOCUMENT_REQUEST_H_
