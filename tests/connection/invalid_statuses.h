#ifndef TESTS_CONNECTION_INVALID_STATUSES_H_
#define TESTS_CONNECTION_INVALID_STATUSES_H_

#include <array>

namespace mangodoor {

/** Statuses that HTTP does not have: neither interim nor final ones. */
constexpr std::array<const char*, 7> kInvalidStatuses{
    "000", "001", "099", "600", "699", "700", "999"};

}  // namespace mangodoor

#endif  // TESTS_CONNECTION_INVALID_STATUSES_H_
