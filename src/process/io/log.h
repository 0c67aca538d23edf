#ifndef PROCESS_IO_LOG_H_
#define PROCESS_IO_LOG_H_

#include <cstdint>
#include <string>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "process/clock.h"

namespace mangodoor {

enum class LogLevel { kInfo, kWarning, kError };

/** A named value of a log line. */
struct LogField {
  using Value = std::variant<std::string, int64_t, double, bool>;

  LogField(std::string field_name, std::string text)
      : name(std::move(field_name)), value(std::move(text)) {}
  LogField(std::string field_name, const char* text)
      : name(std::move(field_name)), value(std::string(text)) {}
  LogField(std::string field_name, bool flag)
      : name(std::move(field_name)), value(flag) {}
  LogField(std::string field_name, double number)
      : name(std::move(field_name)), value(number) {}
  template <typename Integer,
            typename = std::enable_if_t<std::is_integral_v<Integer>>>
  LogField(std::string field_name, Integer number)
      : name(std::move(field_name)), value(static_cast<int64_t>(number)) {}

  std::string name;
  Value value;
};

/**
 * Sends lines of at least `minimum` to standard output. Called once, before
 * the first line. A line is dropped rather than waited for if nobody reads
 * them; `lines_dropped` of the next one that is written says how many.
 */
void ConfigureLog(LogLevel minimum);

/** Writes one line for a change of state. Thread safe; never throws. */
void Log(LogLevel level,
         const std::string& event,
         const std::vector<LogField>& fields = {}) noexcept;

/** One JSON object: time (RFC 3339), level, event, then the fields. */
std::string FormatLogLine(WallTime time,
                          LogLevel level,
                          const std::string& event,
                          const std::vector<LogField>& fields);

}  // namespace mangodoor

#endif  // PROCESS_IO_LOG_H_
