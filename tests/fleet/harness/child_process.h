#ifndef TESTS_FLEET_HARNESS_CHILD_PROCESS_H_
#define TESTS_FLEET_HARNESS_CHILD_PROCESS_H_

#include <sys/types.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace mangodoor {

/** A program under test. The destructor kills it. */
class ChildProcess {
 public:
  /** Starts `arguments[0]`; its output is appended to `log_path`. */
  ChildProcess(const std::vector<std::string>& arguments,
               const std::string& log_path);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int signal) const;
  /**
   * Sends a signal once the program has got to where it handles the signal or
   * holds it back, or has ended; at the latest after `timeout`, and returns
   * false then. Before its main(), a signal ends any program.
   */
  bool SignalOnceStarted(int signal, std::chrono::milliseconds timeout) const;

  /**
   * The exit status, or the negative number of the signal that ended the
   * program; none if it still runs after `timeout`.
   */
  std::optional<int> WaitForExit(std::chrono::milliseconds timeout);

  pid_t pid() const { return pid_; }

  /** Most memory that the program has used, in bytes; 0 if it has ended. */
  uint64_t PeakMemory() const;

 private:
  /** A field of /proc/PID/status; empty before the program is executed. */
  std::string StatusField(const std::string& wanted) const;
  bool HandlesOrHolds(int signal) const;
  bool HasEnded() const;

  std::string program_;
  pid_t pid_ = -1;
};

/** The folder of the programs under test. */
std::string BinaryFolder();

}  // namespace mangodoor

#endif  // TESTS_FLEET_HARNESS_CHILD_PROCESS_H_
