#ifndef TESTS_PEERS_TEST_CONNECTION_MANAGER_H_
#define TESTS_PEERS_TEST_CONNECTION_MANAGER_H_

#include <unistd.h>

#include <chrono>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "process/peers/io/peer_connection_manager.h"
#include "process/system_clock.h"
#include "process/worker_pool.h"

namespace mangodoor {

/** Limit on the time that a test waits for an event. */
constexpr std::chrono::seconds kTestTimeout(10);

/**
 * An endpoint at an address of 127.0.0.0/8 that depends on the process id, so
 * that two test processes rarely share it.
 */
inline Endpoint LoopbackEndpoint(int host) {
  const int pid = getpid();
  return {"127." + std::to_string(64 + (pid >> 8) % 128) + "." +
              std::to_string(pid % 256) + "." + std::to_string(host),
          7401};
}

inline Instance TestInstance(const std::string& id, int host) {
  Instance instance;
  instance.id = InstanceId(id);
  instance.data_centre = DataCentreId("muscat-1");
  instance.peer_endpoint = LoopbackEndpoint(host);
  instance.caller_endpoint = instance.peer_endpoint;
  instance.caller_endpoint.port = 7400;
  return instance;
}

/** Waits until `condition` holds; false after kTestTimeout. */
inline bool Eventually(const std::function<bool()>& condition) {
  const auto end = std::chrono::steady_clock::now() + kTestTimeout;
  while (std::chrono::steady_clock::now() < end) {
    if (condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return condition();
}

/**
 * A PeerConnectionManager on its own worker threads that records received
 * messages and counts lost peers.
 */
class TestConnectionManager {
 public:
  explicit TestConnectionManager(
      Instance self,
      std::string secret = "a secret of the test fleet",
      PeerConnectionLimits limits = {})
      : self_(std::move(self)),
        manager_(pool_.context(),
                 {self_, std::move(secret), limits},
                 Callbacks(),
                 clock_,
                 counters_) {
    manager_.Start();
    pool_.Start();
  }

  ~TestConnectionManager() {
    manager_.Stop();
    pool_.Stop();
  }

  PeerConnectionManager& manager() { return manager_; }
  Counters& counters() { return counters_; }
  const Instance& self() const { return self_; }

  bool IsConnected(const TestConnectionManager& other) const {
    for (const InstanceId& peer : manager_.ConnectedPeers()) {
      if (peer == other.self().id)
        return true;
    }
    return false;
  }

  std::vector<PeerMessage> received() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return received_;
  }
  int lost() const {
    std::lock_guard<std::mutex> lock(mutex_);
    return lost_;
  }

 private:
  PeerConnectionCallbacks Callbacks() {
    PeerConnectionCallbacks callbacks;
    callbacks.received = [this](const InstanceId&, const PeerMessage& message) {
      std::lock_guard<std::mutex> lock(mutex_);
      received_.push_back(message);
    };
    callbacks.connected = [](const InstanceId&) {};
    callbacks.lost = [this](const InstanceId&) {
      std::lock_guard<std::mutex> lock(mutex_);
      ++lost_;
    };
    return callbacks;
  }

  Instance self_;
  SystemClock clock_;
  Counters counters_;
  mutable std::mutex mutex_;
  std::vector<PeerMessage> received_;
  int lost_ = 0;
  WorkerPool pool_{2};
  PeerConnectionManager manager_;
};

/** Limits under which idle peers stay connected without heartbeats. */
inline PeerConnectionLimits LimitsForIdlePeers() {
  PeerConnectionLimits limits;
  limits.silence_timeout = std::chrono::minutes(1);
  return limits;
}

}  // namespace mangodoor

#endif  // TESTS_PEERS_TEST_CONNECTION_MANAGER_H_
