#include "request/load_metrics.h"

#include <cmath>
#include <cstdlib>
#include <string>

namespace mangodoor {
namespace {

constexpr std::string_view kPrefix = "TEXT ";
constexpr double kMaxMetricValue = 1e6;

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ')
    text.remove_prefix(1);
  while (!text.empty() && text.back() == ' ')
    text.remove_suffix(1);
  return text;
}

std::optional<double> ParseNumber(std::string_view text) {
  const std::string copy(text);
  char* end = nullptr;
  const double value = std::strtod(copy.c_str(), &end);
  if (copy.empty() || *end != '\0' || !std::isfinite(value))
    return std::nullopt;
  return value;
}

void ParseMetric(std::string_view metric, LoadMetrics& metrics) {
  const size_t equals = metric.find('=');
  if (equals == std::string_view::npos)
    return;
  const std::string_view name = Trim(metric.substr(0, equals));
  const auto value = ParseNumber(Trim(metric.substr(equals + 1)));
  if (!value || *value < 0 || *value > kMaxMetricValue)
    return;
  if (name == "named_metrics.in_flight")
    metrics.in_flight = static_cast<int>(*value);
  else if (name == "named_metrics.cold")
    metrics.cold = *value != 0;
}

}  // namespace

LoadMetrics ParseLoadMetrics(std::string_view field) {
  LoadMetrics metrics;
  if (field.substr(0, kPrefix.size()) != kPrefix)
    return metrics;
  field.remove_prefix(kPrefix.size());
  while (!field.empty()) {
    const size_t comma = field.find(',');
    ParseMetric(Trim(field.substr(0, comma)), metrics);
    if (comma == std::string_view::npos)
      break;
    field.remove_prefix(comma + 1);
  }
  return metrics;
}

}  // namespace mangodoor
