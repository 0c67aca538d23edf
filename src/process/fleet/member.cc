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
  constexpr size_t kMostNamed = 8;
  std::string text;
  for (size_t i = 0; i < std::min(members.size(), kMostNamed); ++i) {
    text += (i > 0 ? " " : "") + members[i].id.value() + "=" +
            Name(members[i].state);
  }
  if (members.size() > kMostNamed)
    text += " and " + std::to_string(members.size() - kMostNamed) + " more";
  return text;
}

}  // namespace mangodoor
