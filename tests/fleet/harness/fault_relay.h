#ifndef TESTS_FLEET_HARNESS_FAULT_RELAY_H_
#define TESTS_FLEET_HARNESS_FAULT_RELAY_H_

#include <memory>

#include "version/endpoint.h"

namespace mangodoor {

/** What a relay does to the connections that it forwards. */
enum class LinkFault {
  kNone,
  /** Bytes are held both ways, and nothing is closed. */
  kSilent,
  /** Bytes to the target are held. */
  kNothingToTarget,
  /** Bytes to the caller are held. */
  kNothingToCaller,
  /** Every piece of data arrives late. */
  kLate,
};

/** Forwards TCP connections to a target until it is cut. */
class FaultRelay {
 public:
  FaultRelay(const Endpoint& listen, const Endpoint& target);
  ~FaultRelay();

  /** Stops forwarding, without closing anything, as a lost route does. */
  void Cut();

  /** Closes what was cut and forwards new connections. */
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
