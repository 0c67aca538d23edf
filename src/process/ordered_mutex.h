#ifndef PROCESS_ORDERED_MUTEX_H_
#define PROCESS_ORDERED_MUTEX_H_

#include <mutex>

#include "process/lock_rank.h"

namespace mangodoor {

/**
 * A mutex that aborts the process when a thread locks it out of rank order.
 * Works with std::lock_guard and std::unique_lock.
 */
class OrderedMutex {
 public:
  explicit OrderedMutex(LockRank rank) : rank_(rank) {}
  OrderedMutex(const OrderedMutex&) = delete;
  OrderedMutex& operator=(const OrderedMutex&) = delete;

  void lock();
  void unlock();

 private:
  std::mutex mutex_;
  LockRank rank_;
};

using OrderedLock = std::lock_guard<OrderedMutex>;

}  // namespace mangodoor

#endif  // PROCESS_ORDERED_MUTEX_H_
