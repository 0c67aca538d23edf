#include "process/load/load_run_report.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace mangodoor {
namespace {

using FloatMilliseconds = std::chrono::duration<double, std::milli>;
using FloatSeconds = std::chrono::duration<double>;

std::string FormatNumber(double number) {
  std::array<char, 64> text{};
  std::snprintf(text.data(), text.size(), "%.3f", number);
  return text.data();
}

std::string FormatMilliseconds(Duration duration) {
  return FormatNumber(FloatMilliseconds(duration).count()) + " ms";
}

std::string DescribeResult(const RequestAttempt& attempt) {
  switch (attempt.end) {
    case RequestAttempt::End::kNotSent:
      return "no instance could be reached, not-run";
    case RequestAttempt::End::kBroken:
      return "no whole response, unknown";
    case RequestAttempt::End::kResponse:
      break;
  }
  std::string text = "status " + std::to_string(attempt.http_status);
  if (!attempt.error.empty())
    text += " " + attempt.error;
  return text + ", " + (attempt.outcome.empty() ? "done" : attempt.outcome);
}

}  // namespace

void AddRequest(LoadRunReport& report, const RequestResult& result) {
  ++report.requests;
  report.retries += static_cast<uint64_t>(std::max(0, result.attempts - 1));
  ++report.requests_by_result[DescribeResult(result.last)];
  if (IsServed(result.last)) {
    ++report.served;
    report.latencies.push_back(result.latency);
  } else if (IsRefusal(result.last)) {
    ++report.refused;
  }
}

Duration Percentile(std::vector<Duration>& latencies, double fraction) {
  if (latencies.empty())
    return Duration::zero();
  std::sort(latencies.begin(), latencies.end());
  const auto rank = static_cast<size_t>(
      std::ceil(fraction * static_cast<double>(latencies.size())));
  return latencies[std::clamp<size_t>(rank, 1, latencies.size()) - 1];
}

std::string FormatReport(LoadRunReport report, Duration elapsed) {
  std::string text;
  for (const auto& [result, count] : report.requests_by_result)
    text += result + ": " + std::to_string(count) + "\n";
  text += "repeated attempts: " + std::to_string(report.retries) + "\n";
  const double seconds = FloatSeconds(elapsed).count();
  if (seconds > 0) {
    text += "rate: " +
            FormatNumber(static_cast<double>(report.requests) / seconds) +
            " requests/s over " + FormatNumber(seconds) + " s\n";
  }
  text += "latency:";
  for (const auto& [name, fraction] :
       {std::pair("p50", 0.5), std::pair("p99", 0.99),
        std::pair("p99.9", 0.999), std::pair("max", 1.0)}) {
    text += std::string(" ") + name + " " +
            FormatMilliseconds(Percentile(report.latencies, fraction));
  }
  return text + "\nserved " + std::to_string(report.served) + " of " +
         std::to_string(report.requests) + " requests\n";
}

}  // namespace mangodoor
