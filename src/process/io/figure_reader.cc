#include "process/io/figure_reader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

#include "version/field_check.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

constexpr double kMillisecondsPerSecond = 1000;
constexpr size_t kMaxShownLength = 64;

// Less than any fraction of a millisecond that a platform would set, and more
// than the rounding errors of a conversion from seconds.
constexpr double kRoundingMs = 1e-6;

/** The value of a field; null if it is absent or empty. */
const Json* FindValue(ObjectReader& object, const std::string& field) {
  object.known.push_back(field);
  if (!object.json)
    return nullptr;
  const auto found = object.json->find(field);
  if (found == object.json->end() || found->is_null() || *found == "")
    return nullptr;
  return &*found;
}

std::optional<double> NumberFrom(const Json& json) {
  if (json.is_number())
    return json.get<double>();
  if (!json.is_string())
    return std::nullopt;
  const auto& text = json.get_ref<const std::string&>();
  const char* const end = text.data() + text.size();
  double number = 0;
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(number))
    return std::nullopt;
  return number;
}

std::optional<bool> SwitchFrom(const Json& json) {
  if (json.is_boolean())
    return json.get<bool>();
  if (json == "true")
    return true;
  if (json == "false")
    return false;
  return std::nullopt;
}

void AddReplaced(FigureReader& reader,
                 const std::string& field,
                 const Json& seen,
                 std::string allowed,
                 std::string used) {
  const std::string text = seen.is_string()
                               ? Quoted(seen.get_ref<const std::string&>())
                               : seen.dump().substr(0, kMaxShownLength);
  reader.replaced.push_back({reader.object.path + "/" + field, text,
                             std::move(allowed), std::move(used)});
}

/**
 * Reads a number. Returns nothing if there is no value, and
 * `defaults.unreadable` if it is unreadable.
 */
std::optional<double> ReadNumberIfPresent(FigureReader& reader,
                                          const std::string& field,
                                          const Range<double>& range,
                                          double unreadable) {
  const Json* json = FindValue(reader.object, field);
  if (!json)
    return std::nullopt;
  const std::optional<double> number = NumberFrom(*json);
  const double used =
      number ? std::clamp(*number, range.lowest, range.highest) : unreadable;
  if (!number || used != *number)
    AddReplaced(reader, field, *json, DescribeRange(range), Json(used).dump());
  return used;
}

}  // namespace

std::string ToString(const ReplacedSetting& replaced) {
  const std::string fault =
      ToString(Fault{replaced.path, replaced.seen, replaced.allowed});
  return fault +
         (replaced.used.empty() ? "; left out" : "; used: " + replaced.used);
}

double ReadFigure(FigureReader& reader,
                  const std::string& field,
                  const Range<double>& range,
                  const FigureDefault<double>& defaults) {
  return ReadNumberIfPresent(reader, field, range, defaults.unreadable)
      .value_or(defaults.absent);
}

milliseconds ReadTime(FigureReader& reader,
                      const std::string& name,
                      const Range<double>& range_ms,
                      const FigureDefault<milliseconds>& defaults) {
  const auto unreadable_ms = static_cast<double>(defaults.unreadable.count());
  const std::optional<double> in_seconds =
      ReadNumberIfPresent(reader, name + "_s",
                          {range_ms.lowest / kMillisecondsPerSecond,
                           range_ms.highest / kMillisecondsPerSecond},
                          unreadable_ms / kMillisecondsPerSecond);
  std::optional<double> in_ms =
      ReadNumberIfPresent(reader, name + "_ms", range_ms, unreadable_ms);
  if (!in_ms && in_seconds)
    in_ms = *in_seconds * kMillisecondsPerSecond;
  if (!in_ms)
    return defaults.absent;
  return milliseconds(static_cast<int64_t>(*in_ms + kRoundingMs));
}

bool ReadSwitch(FigureReader& reader,
                const std::string& field,
                const FigureDefault<bool>& defaults) {
  const Json* json = FindValue(reader.object, field);
  if (!json)
    return defaults.absent;
  if (const std::optional<bool> value = SwitchFrom(*json))
    return *value;
  AddReplaced(reader, field, *json, "true or false",
              Json(defaults.unreadable).dump());
  return defaults.unreadable;
}

}  // namespace mangodoor
