#ifndef PROCESS_VERSIONS_DOCUMENT_REQUEST_H_
#define PROCESS_VERSIONS_DOCUMENT_REQUEST_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "process/clock.h"
#include "version/ids.h"

namespace mangodoor {

/** A peer that has not sent a document this long after it was asked is slow. */
constexpr Duration kDocumentTimeout = std::chrono::milliseconds(500);

/** The one request for a document that is under way. */
struct DocumentRequestState {
  std::optional<InstanceId> asked;
  TimePoint asked_at{};
  uint64_t version = 0;
  /** Peers that were asked for `version` and did not deliver it. */
  std::set<InstanceId> tried;
};

/** A reachable peer with a higher version than the one in force. */
struct DocumentHolder {
  InstanceId id;
  bool in_own_data_centre = false;
  uint64_t version = 0;
};

/** A peer to ask, and for which version. */
struct DocumentQuestion {
  InstanceId peer;
  uint64_t version = 0;
};

/**
 * Says which peer to ask now, and notes that it is asked: one with the highest
 * version, in the own data centre if there is one, a different one after each
 * time-out.
 */
std::optional<DocumentQuestion> PlanDocumentRequest(
    DocumentRequestState& state,
    const std::vector<DocumentHolder>& holders,
    TimePoint now);

/** The peer delivered a document, good or bad. */
void FinishDocumentRequest(DocumentRequestState& state, const InstanceId& peer);

}  // namespace mangodoor

#endif  // PROCESS_VERSIONS_DOCUMENT_REQUEST_H_
