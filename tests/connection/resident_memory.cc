#include "connection/resident_memory.h"

#include <algorithm>
#include <chrono>
#include <fstream>
#include <string>

namespace mangodoor {
namespace {

constexpr std::chrono::milliseconds kBetweenSamples{5};

}  // namespace

size_t ResidentBytes() {
  std::ifstream status("/proc/self/status");
  std::string word;
  while (status >> word) {
    if (word == "VmRSS:") {
      size_t kibibytes = 0;
      status >> kibibytes;
      return kibibytes * 1024;
    }
  }
  return 0;
}

MemoryGrowth::MemoryGrowth()
    : before_(ResidentBytes()), watcher_([this] { Watch(); }) {}

MemoryGrowth::~MemoryGrowth() {
  stopped_ = true;
  watcher_.join();
}

void MemoryGrowth::Watch() {
  while (!stopped_) {
    const size_t now = std::max(ResidentBytes(), before_);
    highest_ = std::max(highest_.load(), now - before_);
    std::this_thread::sleep_for(kBetweenSamples);
  }
}

}  // namespace mangodoor
