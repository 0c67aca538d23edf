#ifndef TESTS_CONNECTION_RESIDENT_MEMORY_H_
#define TESTS_CONNECTION_RESIDENT_MEMORY_H_

#include <atomic>
#include <cstddef>
#include <thread>

namespace mangodoor {

constexpr size_t kMiB = 1024 * 1024;

/** Resident memory of this process, in bytes. */
size_t ResidentBytes();

/** Watches how much the resident memory grows while it exists. */
class MemoryGrowth {
 public:
  MemoryGrowth();
  ~MemoryGrowth();
  MemoryGrowth(const MemoryGrowth&) = delete;
  MemoryGrowth& operator=(const MemoryGrowth&) = delete;

  /** Highest growth so far, in bytes. */
  size_t highest() const { return highest_; }

 private:
  void Watch();

  const size_t before_;
  std::atomic<size_t> highest_{0};
  std::atomic<bool> stopped_{false};
  std::thread watcher_;
};

}  // namespace mangodoor

#endif  // TESTS_CONNECTION_RESIDENT_MEMORY_H_
