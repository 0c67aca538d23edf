#include "connection/sent_requests.h"

#include <algorithm>
#include <functional>

namespace mangodoor {
namespace {

uint64_t HashOf(std::string_view id) {
  return std::hash<std::string_view>()(id);
}

}  // namespace

void Add(SentRequests& sent, std::string_view id, bool is_head) {
  if (!id.empty())
    sent.requests.push_back({HashOf(id), is_head});
}

const SentRequest* Find(const SentRequests& sent, std::string_view id) {
  const uint64_t hash = HashOf(id);
  const auto found = std::find_if(
      sent.requests.begin(), sent.requests.end(),
      [hash](const SentRequest& request) { return request.id_hash == hash; });
  return found == sent.requests.end() ? nullptr : &*found;
}

bool IsFull(const SentRequests& sent) {
  return sent.requests.size() >= kMaxRequestsPerConnection;
}

}  // namespace mangodoor
