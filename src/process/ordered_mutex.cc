#include "process/ordered_mutex.h"

#include <array>
#include <cstdio>
#include <cstdlib>

namespace mangodoor {
namespace {

constexpr size_t kMaxHeldLocks = 8;

struct HeldLocks {
  std::array<LockRank, kMaxHeldLocks> ranks;
  size_t count = 0;
};

thread_local HeldLocks held_locks;

}  // namespace

void OrderedMutex::lock() {
  // The order is checked before waiting, so that a wrong order aborts the
  // process the first time it occurs and not only when two threads deadlock.
  HeldLocks& held = held_locks;
  const bool in_order = held.count == 0 || held.ranks[held.count - 1] < rank_;
  if (!in_order || held.count == kMaxHeldLocks) {
    std::fprintf(stderr, "lock of rank %d taken while holding rank %d\n",
                 static_cast<int>(rank_),
                 static_cast<int>(held.ranks[held.count - 1]));
    std::abort();
  }
  mutex_.lock();
  held.ranks[held.count++] = rank_;
}

void OrderedMutex::unlock() {
  // Locks can be released in any order; the remaining ranks stay sorted.
  HeldLocks& held = held_locks;
  size_t index = 0;
  while (held.ranks[index] != rank_)
    ++index;
  for (; index + 1 < held.count; ++index)
    held.ranks[index] = held.ranks[index + 1];
  --held.count;
  mutex_.unlock();
}

}  // namespace mangodoor
