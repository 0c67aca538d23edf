#ifndef BENCH_LIB_SLOPE_H_
#define BENCH_LIB_SLOPE_H_

#include <string>
#include <vector>

namespace mangodoor {

/** A cost measured at one size. */
struct SlopePoint {
  double size = 0;
  double value = 0;
};

/** A straight line through measured points. */
struct Slope {
  double intercept = 0;
  double per_unit = 0;
  /**
   * Slope between the last two points divided by that between the first two:
   * about 1 for a straight line, above 1 if the cost grows faster than
   * linearly.
   */
  double bend = 1;
};

/** Fits by least squares; needs at least two points. */
Slope FitSlope(const std::vector<SlopePoint>& points);

/** A named series of points with its unit, ready to print. */
struct MeasuredSlope {
  std::string measure;
  /** What the sizes are numbers of, such as "instances". */
  std::string size_name;
  std::string unit;
  std::vector<SlopePoint> points;
};

/** Formats a row of a Markdown table: points, slope, intercept and bend. */
std::string MarkdownRow(const MeasuredSlope& measured);

}  // namespace mangodoor

#endif  // BENCH_LIB_SLOPE_H_
