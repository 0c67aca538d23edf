#ifndef REQUEST_DEADLINE_H_
#define REQUEST_DEADLINE_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "process/clock.h"
#include "version/document.h"

namespace mangodoor {

/**
 * Parses a whole number of milliseconds; no value if `text` is not one. Values
 * above 24 hours are reduced to 24 hours.
 */
std::optional<std::chrono::milliseconds> ParseMilliseconds(
    std::string_view text);

/**
 * The deadline of a request: `now` plus the route's timeout, or plus
 * `requested` if that is shorter.
 */
TimePoint DeadlineFor(const Route& route,
                      std::optional<std::chrono::milliseconds> requested,
                      TimePoint now);

}  // namespace mangodoor

#endif  // REQUEST_DEADLINE_H_
