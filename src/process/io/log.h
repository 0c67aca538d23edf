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

/** A named value in a log line. */
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

/** A number as logged, with four decimal places. */
double Rounded(double number);

/** A duration as logged in fields whose names end in `_ms`. */
double Milliseconds(Duration duration);

/**
 * Sets up logging to standard output, for lines of level `minimum` and above.
 * Must be called once, before the first line. A line of 4 KiB or more, or one
 * that cannot be written without blocking, is dropped; the field
 * `lines_dropped` of the next written line counts the dropped lines.
 */
void ConfigureLog(LogLevel minimum);

/** Writes one line for an event. Thread-safe; never throws. */
void Log(LogLevel level,
         const std::string& event,
         const std::vector<LogField>& fields = {}) noexcept;

/** Formats a line as JSON: time (RFC 3339), level, event, then the fields. */
std::string FormatLogLine(WallTime time,
                          LogLevel level,
                          const std::string& event,
                          const std::vector<LogField>& fields);

}  // namespace mangodoor

#endif  // PROCESS_IO_LOG_H_
