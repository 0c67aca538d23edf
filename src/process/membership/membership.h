#ifndef PROCESS_MEMBERSHIP_MEMBERSHIP_H_
#define PROCESS_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <vector>

#include "version/endpoint.h"
#include "version/ids.h"

namespace mangodoor {

enum class InstanceState { kJoining, kServing, kLeaving };

/** An instance, as described by the platform's list or the settings. */
struct Instance {
  InstanceId id;
  DataCentreId data_centre;
  Endpoint caller_endpoint;
  Endpoint peer_endpoint;
  bool leaving = false;
};

/** The platform's list of instances, which lags behind the actual fleet. */
struct InstanceList {
  uint64_t revision = 0;
  std::vector<Instance> instances;
};

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_MEMBERSHIP_H_
