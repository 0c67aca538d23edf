#include "process/versions/document_request.h"

#include <algorithm>
#include <tuple>

namespace mangodoor {
namespace {

// Higher is better. Peers that have failed come last, so that they are asked
// again once no other is left.
auto Preference(const DocumentRequestState& state,
                const DocumentHolder& holder) {
  const bool failed =
      holder.version <= state.version && state.tried.count(holder.id) > 0;
  return std::make_tuple(!failed, holder.version, holder.in_own_data_centre);
}

bool Waiting(const DocumentRequestState& state, TimePoint now) {
  return state.asked && now - state.asked_at < kDocumentTimeout;
}

}  // namespace

std::optional<DocumentQuestion> PlanDocumentRequest(
    DocumentRequestState& state,
    const std::vector<DocumentHolder>& holders,
    TimePoint now) {
  if (holders.empty() || Waiting(state, now))
    return std::nullopt;
  const auto best =
      std::max_element(holders.begin(), holders.end(),
                       [&](const DocumentHolder& a, const DocumentHolder& b) {
                         return Preference(state, a) < Preference(state, b);
                       });
  if (state.tried.count(best->id) > 0)
    state.tried.clear();
  state.asked = best->id;
  state.asked_at = now;
  state.version = best->version;
  state.tried.insert(best->id);
  return DocumentQuestion{best->id, best->version};
}

void FinishDocumentRequest(DocumentRequestState& state,
                           const InstanceId& peer) {
  if (state.asked == peer)
    state.asked.reset();
}

}  // namespace mangodoor
