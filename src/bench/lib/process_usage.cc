#include "bench/lib/process_usage.h"

#include <malloc.h>
#include <unistd.h>
#include <fstream>
#include <string>

namespace mangodoor {
namespace {

// User and system time are fields 14 and 15 of /proc/PID/stat, that is 12 and
// 13 when counted after the command name.
constexpr int kUserTimeField = 12;

}  // namespace

size_t ResidentBytes(pid_t pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/statm");
  size_t total_pages = 0;
  size_t resident_pages = 0;
  file >> total_pages >> resident_pages;
  return resident_pages * static_cast<size_t>(sysconf(_SC_PAGESIZE));
}

std::chrono::nanoseconds CpuTime(pid_t pid) {
  // /proc/PID/schedstat has nanoseconds, but only for the main thread. stat
  // covers all threads in clock ticks, precise enough over several seconds.
  std::ifstream file("/proc/" + std::to_string(pid) + "/stat");
  std::string text;
  std::getline(file, text, ')');
  std::string skipped;
  for (int i = 0; i < kUserTimeField - 1; ++i)
    file >> skipped;
  long user_ticks = 0;
  long system_ticks = 0;
  file >> user_ticks >> system_ticks;
  const long ticks_per_second = sysconf(_SC_CLK_TCK);
  return std::chrono::nanoseconds(std::chrono::seconds(1)) *
         (user_ticks + system_ticks) / ticks_per_second;
}

size_t HeapBytes() {
  const struct mallinfo2 info = mallinfo2();
  return info.uordblks + info.hblkhd;
}

}  // namespace mangodoor
