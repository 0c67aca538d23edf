#ifndef REQUEST_DEADLINE_H_
#define REQUEST_DEADLINE_H_

#include <chrono>
#include <optional>
#include <string_view>

#include "process/clock.h"
#include "version/document.h"

namespace mangodoor {

/**
 * Parses a whole number of milliseconds; no value if `text` is not one. Larger
 * values than 24 hours are reduced to 24 hours.
 */
std::optional<std::chrono::milliseconds> ParseMilliseconds(
    std::string_view text);

/**
 * The deadline of a request: after the route's timeout, or earlier if the
 * caller requested a shorter one.
 */
TimePoint DeadlineFor(const Route& route,
                      std::optional<std::chrono::milliseconds> requested,
                      TimePoint now);

}  // namespace mangodoor

#endif  // REQUEST_DEADLINE_H_
