#include "process/fleet/member.h"

#include <algorithm>

namespace mangodoor {

InstanceId IdOfEndpoint(const Endpoint& peer_endpoint) {
  // Ids are names, in which a colon is not allowed.
  std::string text =
      peer_endpoint.address + "." + std::to_string(peer_endpoint.port);
  std::replace(text.begin(), text.end(), ':', '_');
  return InstanceId(text);
}

bool Supersedes(const Member& news, const Member& known) {
  if (news.incarnation != known.incarnation)
    return news.incarnation > known.incarnation;
  return news.state > known.state;
}

}  // namespace mangodoor
