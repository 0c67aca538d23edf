#ifndef PROCESS_FLEET_MEMBER_H_
#define PROCESS_FLEET_MEMBER_H_

#include <cstdint>
#include <string>
#include <vector>

#include "version/endpoint.h"
#include "version/ids.h"

namespace mangodoor {

enum class MemberState { kServing, kLeaving, kGone };

/** An instance of the fleet, as it states itself or as others found it. */
struct Member {
  InstanceId id;
  DataCentreId data_centre;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  /** Processor time that it has, in thousandths of a core. */
  int millicores = 1000;
  /** Higher in each later process of the same id; it alone raises it. */
  uint64_t incarnation = 0;
  MemberState state = MemberState::kServing;
};

/**
 * The id of an instance that is found by its peer endpoint. Seeds are known
 * by endpoint only, so the endpoint has to tell the id.
 */
InstanceId IdOfEndpoint(const Endpoint& peer_endpoint);

/**
 * True if `update` replaces `known`: a later incarnation, or in the same one a
 * state further towards the end.
 */
bool Supersedes(const Member& update, const Member& known);

const char* Name(MemberState state);

/** The first few members with their states, and how many more there are. */
std::string Describe(const std::vector<Member>& members);

}  // namespace mangodoor

#endif  // PROCESS_FLEET_MEMBER_H_
