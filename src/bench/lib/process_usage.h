#ifndef BENCH_LIB_PROCESS_USAGE_H_
#define BENCH_LIB_PROCESS_USAGE_H_

#include <sys/types.h>
#include <chrono>
#include <cstddef>

namespace mangodoor {

/** Resident memory of a process in bytes; 0 if it cannot be read. */
size_t ResidentBytes(pid_t pid);

/** User and system time of a process. */
std::chrono::nanoseconds CpuTime(pid_t pid);

/** Heap bytes in use by this process, according to malloc. */
size_t HeapBytes();

}  // namespace mangodoor

#endif  // BENCH_LIB_PROCESS_USAGE_H_
