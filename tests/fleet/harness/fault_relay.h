#ifndef TESTS_FLEET_HARNESS_FAULT_RELAY_H_
#define TESTS_FLEET_HARNESS_FAULT_RELAY_H_

#include <memory>

#include "version/endpoint.h"

namespace mangodoor {

/** Fault that a relay injects into all its connections. */
enum class LinkFault {
  kNone,
  /** Nothing is forwarded in either direction; connections stay open. */
  kSilent,
  /** Bytes to the target are not forwarded. */
  kNoDataToTarget,
  /** Bytes to the caller are not forwarded. */
  kNoDataToCaller,
  /** All bytes are forwarded with a delay. */
  kDelayed,
};

/** Forwards TCP connections to a target and injects link faults. */
class FaultRelay {
 public:
  FaultRelay(const Endpoint& listen, const Endpoint& target);
  ~FaultRelay();

  /** Stops forwarding without closing connections, like a lost route. */
  void Cut();

  /** Ends the fault. Closes all connections; new ones are forwarded. */
  void Heal();

  void SetFault(LinkFault fault);

  /** Resets all connections. */
  void Reset();

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mangodoor

#endif  // TESTS_FLEET_HARNESS_FAULT_RELAY_H_
