#include "bench/lib/slope.h"

#include <cmath>
#include <cstdio>

namespace mangodoor {
namespace {

double Gradient(const SlopePoint& a, const SlopePoint& b) {
  return (b.value - a.value) / (b.size - a.size);
}

std::string FormatShort(double value) {
  char text[32];
  const double magnitude = std::fabs(value);
  if (magnitude >= 1000)
    std::snprintf(text, sizeof(text), "%.0f", value);
  else
    std::snprintf(text, sizeof(text), "%.3g", value);
  return text;
}

}  // namespace

Slope FitSlope(const std::vector<SlopePoint>& points) {
  double size_sum = 0;
  double value_sum = 0;
  for (const SlopePoint& point : points) {
    size_sum += point.size;
    value_sum += point.value;
  }
  const double count = static_cast<double>(points.size());
  const double size_mean = size_sum / count;
  const double value_mean = value_sum / count;
  double covariance = 0;
  double variance = 0;
  for (const SlopePoint& point : points) {
    covariance += (point.size - size_mean) * (point.value - value_mean);
    variance += (point.size - size_mean) * (point.size - size_mean);
  }
  Slope slope;
  slope.per_unit = covariance / variance;
  slope.intercept = value_mean - slope.per_unit * size_mean;
  if (points.size() >= 3) {
    const double first = Gradient(points[0], points[1]);
    const double last =
        Gradient(points[points.size() - 2], points[points.size() - 1]);
    slope.bend = first == 0 ? 1 : last / first;
  }
  return slope;
}

std::string MarkdownRow(const MeasuredSlope& measured) {
  const Slope slope = FitSlope(measured.points);
  std::string points;
  for (const SlopePoint& point : measured.points) {
    if (!points.empty())
      points += ", ";
    points += FormatShort(point.size) + " → " + FormatShort(point.value);
  }
  return "| " + measured.measure + " | " + measured.size_name + " | " +
         measured.unit + " | " + points + " | " + FormatShort(slope.per_unit) +
         " | " + FormatShort(slope.intercept) + " | " +
         FormatShort(slope.bend) + " |";
}

}  // namespace mangodoor
