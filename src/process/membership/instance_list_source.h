#ifndef PROCESS_MEMBERSHIP_INSTANCE_LIST_SOURCE_H_
#define PROCESS_MEMBERSHIP_INSTANCE_LIST_SOURCE_H_

#include <functional>
#include <optional>

#include "process/membership/membership.h"

namespace mangodoor {

/** Reads the platform's list of instances. */
class InstanceListSource {
 public:
  /** The argument has no value if the list could not be read. */
  using Callback = std::function<void(std::optional<InstanceList>)>;

  virtual ~InstanceListSource() = default;

  /** Calls `done` once, on a worker thread, never from within this call. */
  virtual void Read(Callback done) = 0;
};

}  // namespace mangodoor

#endif  // PROCESS_MEMBERSHIP_INSTANCE_LIST_SOURCE_H_
