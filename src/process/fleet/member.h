#ifndef PROCESS_FLEET_MEMBER_H_
#define PROCESS_FLEET_MEMBER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "version/endpoint.h"
#include "version/ids.h"

namespace mangodoor {

enum class MemberState { kServing, kLeaving, kGone };

/** An instance of the fleet, as it or another instance reports it. */
struct Member {
  InstanceId id;
  DataCentreId data_centre;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  /** Processor time available to it, in thousandths of a core. */
  int millicores = 1000;
  /** Higher for each later process with this id; only the member sets it. */
  uint64_t incarnation = 0;
  MemberState state = MemberState::kServing;
};

/**
 * Derives an instance's id from its peer endpoint. Seeds are known by endpoint
 * only, so the endpoint has to determine the id.
 */
InstanceId IdOfEndpoint(const Endpoint& peer_endpoint);

/**
 * True if `update` replaces `known`: it has a higher incarnation, or the same
 * one with a later state (serving, leaving, gone).
 */
bool Supersedes(const Member& update, const Member& known);

const char* Name(MemberState state);

/** Text with the first few members and states, and the number of others. */
std::string Describe(const std::vector<Member>& members);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_MEMBER_H_
