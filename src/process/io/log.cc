#include "process/io/log.h"

#include <easylogging++.h>
#include <poll.h>
#include <unistd.h>

#include <atomic>
#include <cmath>
#include <exception>
#include <nlohmann/json.hpp>

#include "version/utc_time.h"

INITIALIZE_EASYLOGGINGPP

namespace mangodoor {
namespace {

const char* LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

// A pipe that is ready for writing accepts this much without blocking.
constexpr size_t kMaxLineBytes = 4096;

bool CanWriteWithoutBlocking() {
  pollfd output{STDOUT_FILENO, POLLOUT, 0};
  return poll(&output, 1, 0) == 1 && (output.revents & POLLOUT) != 0;
}

// Writes to standard output without blocking. The sink of easylogging++ would
// block on a full pipe.
class StandardOutputSink : public el::LogDispatchCallback {
 protected:
  void handle(const el::LogDispatchData* data) override {
    std::string line = data->logMessage()->message();
    if (line.size() >= kMaxLineBytes || !CanWriteWithoutBlocking()) {
      ++dropped_;
      return;
    }
    if (const int dropped = dropped_.exchange(0); dropped > 0) {
      // Every line is a JSON object, so it ends with a brace.
      line.pop_back();
      line += ",\"lines_dropped\":" + std::to_string(dropped) + "}";
    }
    line += '\n';
    // The rest of a partial write is dropped.
    if (write(STDOUT_FILENO, line.data(), line.size()) < 0)
      ++dropped_;
  }

 private:
  std::atomic<int> dropped_{0};
};

}  // namespace

double Rounded(double number) {
  constexpr double kSteps = 10000;
  return std::round(number * kSteps) / kSteps;
}

double Milliseconds(Duration duration) {
  // A tenth of a millisecond is precise enough, and keeps lines short.
  const double tenths =
      std::chrono::duration<double, std::milli>(duration).count() * 10;
  return std::round(tenths) / 10;
}

void ConfigureLog(LogLevel minimum) {
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
  configuration.setGlobally(el::ConfigurationType::Format, "%msg");
  // easylogging++ ranks info above warning, so levels are disabled one by one.
  const auto enabled = el::ConfigurationType::Enabled;
  if (minimum > LogLevel::kInfo)
    configuration.set(el::Level::Info, enabled, "false");
  if (minimum > LogLevel::kWarning)
    configuration.set(el::Level::Warning, enabled, "false");
  el::Loggers::reconfigureAllLoggers(configuration);
  // The default sink stays installed, but writes nothing: its outputs, files
  // and standard output, are disabled above.
  el::Helpers::installLogDispatchCallback<StandardOutputSink>(
      "StandardOutputSink");
}

void Log(LogLevel level,
         const std::string& event,
         const std::vector<LogField>& fields) noexcept {
  try {
    const std::string line =
        FormatLogLine(std::chrono::system_clock::now(), level, event, fields);
    switch (level) {
      case LogLevel::kInfo:
        LOG(INFO) << line;
        break;
      case LogLevel::kWarning:
        LOG(WARNING) << line;
        break;
      case LogLevel::kError:
        LOG(ERROR) << line;
        break;
    }
  } catch (const std::exception&) {
    // A failure to log must not abort the work that is logged.
  }
}

std::string FormatLogLine(WallTime time,
                          LogLevel level,
                          const std::string& event,
                          const std::vector<LogField>& fields) {
  nlohmann::ordered_json json;
  json["time"] = FormatUtcTime(time);
  json["level"] = LevelName(level);
  json["event"] = event;
  for (const LogField& field : fields) {
    std::visit([&](const auto& value) { json[field.name] = value; },
               field.value);
  }
  // Text from callers and peers can be invalid UTF-8, on which dump() throws by
  // default.
  return json.dump(-1, ' ', false,
                   nlohmann::ordered_json::error_handler_t::replace);
}

}  // namespace mangodoor
