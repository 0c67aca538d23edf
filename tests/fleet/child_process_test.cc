#include "fleet/harness/child_process.h"

#include <gtest/gtest.h>
#include <signal.h>

#include <filesystem>
#include <thread>

namespace mangodoor {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Guards against a soak that waits for a process to handle a signal although it
// has just ended, and then reports that it did not start (seeds 10048, 350201).
TEST(ChildProcessFleetTest, ProcessThatHasEndedIsNotWaitedFor) {
  const std::string log =
      std::filesystem::temp_directory_path() / "mangodoor-child-process.log";
  ChildProcess child({BinaryFolder() + "/mangodoor-check", "--version"}, log);
  // Its status is not read, as in a soak that signals a stopping instance.
  std::this_thread::sleep_for(seconds(1));
  const auto begin = std::chrono::steady_clock::now();
  EXPECT_TRUE(child.SignalOnceStarted(SIGHUP, seconds(3)));
  EXPECT_LT(std::chrono::steady_clock::now() - begin, seconds(1));
  EXPECT_EQ(child.WaitForExit(milliseconds(0)), 0);
  std::filesystem::remove(log);
}

}  // namespace
}  // namespace mangodoor
