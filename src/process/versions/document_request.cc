#include "process/versions/document_request.h"

#include <algorithm>
#include <tuple>

namespace mangodoor {
namespace {

// Sort key; the holder with the highest one is asked. Peers that were already
// asked for the version they hold come last, so they are asked again only when
// no other is left.
auto Preference(const DocumentRequestState& state,
                const DocumentHolder& holder) {
  const bool already_asked =
      holder.version <= state.version && state.tried.count(holder.id) > 0;
  return std::make_tuple(!already_asked, holder.version,
                         holder.in_own_data_centre);
}

bool IsPending(const DocumentRequestState& state, TimePoint now) {
  return state.requested_from && now - state.requested_at < kDocumentTimeout;
}

}  // namespace

std::optional<DocumentRequestPlan> PlanDocumentRequest(
    DocumentRequestState& state,
    const std::vector<DocumentHolder>& holders,
    TimePoint now) {
  if (holders.empty() || IsPending(state, now))
    return std::nullopt;
  const auto best =
      std::max_element(holders.begin(), holders.end(),
                       [&](const DocumentHolder& a, const DocumentHolder& b) {
                         return Preference(state, a) < Preference(state, b);
                       });
  if (state.tried.count(best->id) > 0)
    state.tried.clear();
  state.requested_from = best->id;
  state.requested_at = now;
  state.version = best->version;
  state.tried.insert(best->id);
  return DocumentRequestPlan{best->id, best->version};
}

void FinishDocumentRequest(DocumentRequestState& state,
                           const InstanceId& peer) {
  if (state.requested_from == peer)
    state.requested_from.reset();
}

}  // namespace mangodoor
