#include "request/response_owner.h"

namespace mangodoor {

ResponseOwner OwnerOf(std::optional<std::string_view> response_id,
                      const RunningRequest& request,
                      const SentRequests& sent) {
  using Kind = ResponseOwner::Kind;
  if (response_id && response_id->empty())
    response_id.reset();
  if (!response_id)
    return {request.id.empty() ? Kind::kThisRequest : Kind::kNotStated,
            request.is_head};
  if (*response_id == request.id)
    return {Kind::kThisRequest, request.is_head};
  if (const SentRequest* earlier = Find(sent, *response_id))
    return {Kind::kEarlierRequest, earlier->is_head};
  return {Kind::kOtherRequest, false};
}

}  // namespace mangodoor
