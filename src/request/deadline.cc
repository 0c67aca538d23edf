#include "request/deadline.h"

#include <algorithm>
#include <charconv>

namespace mangodoor {
namespace {

// Larger values could overflow when they are added to a TimePoint. A route's
// timeout is below this limit anyway.
constexpr int64_t kMaxMilliseconds = 24LL * 60 * 60 * 1000;

}  // namespace

std::optional<std::chrono::milliseconds> ParseMilliseconds(
    std::string_view text) {
  uint64_t value = 0;
  const char* end = text.data() + text.size();
  const auto [parsed, error] = std::from_chars(text.data(), end, value);
  if (parsed != end || text.empty() || error == std::errc::invalid_argument)
    return std::nullopt;
  const bool large =
      error == std::errc::result_out_of_range || value > kMaxMilliseconds;
  return std::chrono::milliseconds(large ? kMaxMilliseconds
                                         : static_cast<int64_t>(value));
}

TimePoint DeadlineFor(const Route& route,
                      std::optional<std::chrono::milliseconds> requested,
                      TimePoint now) {
  return now +
         (requested ? std::min(*requested, route.timeout) : route.timeout);
}

}  // namespace mangodoor
