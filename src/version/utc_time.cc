#include "version/utc_time.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace mangodoor {
namespace {

using std::chrono::duration_cast;
using std::chrono::hours;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr int kFirstYear = 1970;
constexpr int kLastYear = 2199;
constexpr size_t kSecondsLength = 19;  // "2026-12-04T10:00:00"
constexpr size_t kMaxFractionDigits = 9;
constexpr int64_t kSecondsPerDay = 86400;

bool IsLeapYear(int year) {
  return (year % 4 == 0 && year % 100 != 0) || year % 400 == 0;
}

int DaysInMonth(int year, int month) {
  constexpr std::array<int, 12> kDays = {31, 28, 31, 30, 31, 30,
                                         31, 31, 30, 31, 30, 31};
  return month == 2 && IsLeapYear(year) ? 29 : kDays[month - 1];
}

int64_t DaysBeforeYear(int year) {
  int64_t days = 0;
  for (int y = kFirstYear; y < year; ++y)
    days += IsLeapYear(y) ? 366 : 365;
  return days;
}

// The number that the `count` characters at `position` form, or -1 if one of
// them is not a digit.
int ParseDigits(const std::string& text, size_t position, size_t count) {
  int value = 0;
  for (size_t i = position; i < position + count; ++i) {
    if (text[i] < '0' || text[i] > '9')
      return -1;
    value = value * 10 + (text[i] - '0');
  }
  return value;
}

bool HasSeparators(const std::string& text) {
  return text[4] == '-' && text[7] == '-' && text[10] == 'T' &&
         text[13] == ':' && text[16] == ':' && text.back() == 'Z';
}

std::optional<nanoseconds> ParseFraction(const std::string& text) {
  const size_t end = text.size() - 1;
  if (end == kSecondsLength)
    return nanoseconds(0);
  const size_t digits = end - kSecondsLength - 1;
  if (text[kSecondsLength] != '.' || digits < 1 || digits > kMaxFractionDigits)
    return std::nullopt;
  int64_t value = ParseDigits(text, kSecondsLength + 1, digits);
  if (value < 0)
    return std::nullopt;
  for (size_t i = digits; i < kMaxFractionDigits; ++i)
    value *= 10;
  return nanoseconds(value);
}

}  // namespace

std::optional<WallTime> ParseUtcTime(const std::string& text) {
  if (text.size() < kSecondsLength + 1 || !HasSeparators(text))
    return std::nullopt;
  const int year = ParseDigits(text, 0, 4);
  const int month = ParseDigits(text, 5, 2);
  const int day = ParseDigits(text, 8, 2);
  const int hour = ParseDigits(text, 11, 2);
  const int minute = ParseDigits(text, 14, 2);
  const int second = ParseDigits(text, 17, 2);
  const std::optional<nanoseconds> fraction = ParseFraction(text);
  if (year < kFirstYear || year > kLastYear || month < 1 || month > 12 ||
      day < 1 || day > DaysInMonth(year, month) || hour < 0 || hour > 23 ||
      minute < 0 || minute > 59 || second < 0 || second > 59 || !fraction)
    return std::nullopt;
  int64_t days = DaysBeforeYear(year) + day - 1;
  for (int m = 1; m < month; ++m)
    days += DaysInMonth(year, m);
  return WallTime(duration_cast<WallTime::duration>(
      hours(24 * days) + hours(hour) + std::chrono::minutes(minute) +
      seconds(second) + *fraction));
}

std::string FormatUtcTime(WallTime time) {
  const auto since_epoch = time.time_since_epoch();
  const int64_t total_seconds = duration_cast<seconds>(since_epoch).count();
  int64_t days = total_seconds / kSecondsPerDay;
  const int64_t second_of_day = total_seconds % kSecondsPerDay;
  int year = kFirstYear;
  for (; days >= (IsLeapYear(year) ? 366 : 365); ++year)
    days -= IsLeapYear(year) ? 366 : 365;
  int month = 1;
  for (; days >= DaysInMonth(year, month); ++month)
    days -= DaysInMonth(year, month);
  std::array<char, 64> buffer{};
  std::snprintf(buffer.data(), buffer.size(), "%04d-%02d-%02dT%02d:%02d:%02d",
                year, month, static_cast<int>(days + 1),
                static_cast<int>(second_of_day / 3600),
                static_cast<int>(second_of_day / 60 % 60),
                static_cast<int>(second_of_day % 60));
  std::string text = buffer.data();
  const int64_t fraction =
      duration_cast<nanoseconds>(since_epoch - seconds(total_seconds)).count();
  if (fraction > 0) {
    std::snprintf(buffer.data(), buffer.size(), ".%09d",
                  static_cast<int>(fraction));
    text += buffer.data();
    text.erase(text.find_last_not_of('0') + 1);
  }
  return text + "Z";
}

}  // namespace mangodoor
