#include "process/fleet/member.h"

#include <algorithm>

namespace mangodoor {

InstanceId IdOfEndpoint(const Endpoint& peer_endpoint) {
  // Ids must not contain a colon, which IPv6 addresses have.
  std::string text =
      peer_endpoint.address + "." + std::to_string(peer_endpoint.port);
  std::replace(text.begin(), text.end(), ':', '_');
  return InstanceId(text);
}

bool Supersedes(const Member& update, const Member& known) {
  if (update.incarnation != known.incarnation)
    return update.incarnation > known.incarnation;
  return update.state > known.state;
}

const char* Name(MemberState state) {
  switch (state) {
    case MemberState::kServing:
      return "serving";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kGone:
      return "gone";
  }
  return "";
}

std::string Describe(const std::vector<Member>& members) {
  constexpr size_t kMaxNamed = 8;
  std::string text;
  for (size_t i = 0; i < std::min(members.size(), kMaxNamed); ++i) {
    text += (i > 0 ? " " : "") + members[i].id.value() + "=" +
            Name(members[i].state);
  }
  if (members.size() > kMaxNamed)
    text += " and " + std::to_string(members.size() - kMaxNamed) + " more";
  return text;
}

}  // namespace mangodoor
