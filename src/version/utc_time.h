#ifndef VERSION_UTC_TIME_H_
#define VERSION_UTC_TIME_H_

#include <optional>
#include <string>

#include "process/clock.h"

namespace mangodoor {

/**
 * Parses an RFC 3339 time in UTC such as "2026-12-04T10:00:00Z", with up to
 * nine fractional digits. No value for other text, for other time zones and
 * outside the years 1970 to 2199.
 */
std::optional<WallTime> ParseUtcTime(const std::string& text);

/**
 * Formats a time as RFC 3339 in UTC, with as many fractional digits (0 to 9) as
 * needed.
 */
std::string FormatUtcTime(WallTime time);

}  // namespace mangodoor

#endif  // VERSION_UTC_TIME_H_
