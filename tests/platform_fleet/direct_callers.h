#ifndef TESTS_PLATFORM_FLEET_DIRECT_CALLERS_H_
#define TESTS_PLATFORM_FLEET_DIRECT_CALLERS_H_

#include <atomic>
#include <string>
#include <thread>
#include <vector>

#include "platform_fleet/platform_fleet.h"

namespace mangodoor {

/**
 * Callers that send requests to the given instances until Stop, whether or not
 * the directory names them: each has one instance, and sends its next request
 * soon after the response to the last one. A caller whose instance does not
 * answer tries to connect until it does.
 */
class DirectCallers {
 public:
  DirectCallers(const PlatformFleet& fleet,
                const std::vector<int>& instances,
                int callers_per_instance);
  ~DirectCallers();

  void Stop();
  /** Responses so far with status 200. */
  int answered() const { return answered_; }

  /** Index of the instance that a request was sent to. */
  static int InstanceOf(const std::string& request_id);

 private:
  void Run(int instance, int caller);

  const PlatformFleet& fleet_;
  std::atomic<bool> stop_{false};
  std::atomic<int> answered_{0};
  std::vector<std::thread> threads_;
};

}  // namespace mangodoor

#endif  // TESTS_PLATFORM_FLEET_DIRECT_CALLERS_H_
