#include "fleet/harness/child_process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace mangodoor {
namespace {

constexpr std::chrono::milliseconds kPollInterval(5);
constexpr int kExecFailed = 127;

void RedirectOutput(const std::string& log_path) {
  const int log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  if (log < 0)
    return;
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  close(log);
}

}  // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& arguments,
                           const std::string& log_path)
    : program_(arguments[0]) {
  std::vector<char*> argv;
  argv.reserve(arguments.size() + 1);
  for (const std::string& argument : arguments)
    argv.push_back(const_cast<char*>(argument.c_str()));
  argv.push_back(nullptr);
  pid_ = fork();
  if (pid_ < 0)
    throw std::runtime_error("fork failed");
  if (pid_ > 0)
    return;
  // Kills this program if the test that started it crashes.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  RedirectOutput(log_path);
  // A connection of this program stays open as long as a child has it, too.
  close_range(STDERR_FILENO + 1, ~0U, 0);
  execv(argv[0], argv.data());
  _exit(kExecFailed);
}

ChildProcess::~ChildProcess() {
  if (pid_ <= 0)
    return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void ChildProcess::Signal(int signal) const {
  if (pid_ > 0)
    kill(pid_, signal);
}

std::optional<int> ChildProcess::WaitForExit(
    std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  for (;;) {
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) == pid_) {
      pid_ = -1;
      return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    if (std::chrono::steady_clock::now() > end)
      return std::nullopt;
    std::this_thread::sleep_for(kPollInterval);
  }
}

// Until the program is executed, the figures are those of this process.
std::string ChildProcess::StatusField(const std::string& wanted) const {
  std::ifstream file("/proc/" + std::to_string(pid_) + "/status");
  const size_t file_name = program_.rfind('/') + 1;
  for (std::string field, value; file >> field;) {
    if (field == "Name:" && file >> value &&
        program_.compare(file_name, value.size(), value) != 0)
      return "";
    if (field == wanted && file >> value)
      return value;
  }
  return "";
}

uint64_t ChildProcess::PeakMemory() const {
  constexpr uint64_t kBytesPerKilobyte = 1024;
  const std::string kilobytes = StatusField("VmHWM:");
  return kilobytes.empty() ? 0 : std::stoull(kilobytes) * kBytesPerKilobyte;
}

bool ChildProcess::HandlesOrHolds(int signal) const {
  const auto has_signal = [this, signal](const char* field) {
    const std::string mask = StatusField(field);
    return !mask.empty() &&
           (std::stoull(mask, nullptr, 16) >> (signal - 1) & 1) != 0;
  };
  return has_signal("SigBlk:") || has_signal("SigCgt:");
}

// Its exit status has not been read yet.
bool ChildProcess::HasEnded() const {
  return StatusField("State:") == "Z";
}

bool ChildProcess::SignalOnceStarted(int signal,
                                     std::chrono::milliseconds timeout) const {
  const auto end = std::chrono::steady_clock::now() + timeout;
  const auto is_ready = [&] { return HandlesOrHolds(signal) || HasEnded(); };
  bool started = is_ready();
  while (!started && std::chrono::steady_clock::now() < end) {
    std::this_thread::sleep_for(kPollInterval);
    started = is_ready();
  }
  Signal(signal);
  return started;
}

std::string BinaryFolder() {
  return MANGODOOR_BINARY_DIR;
}

}  // namespace mangodoor
