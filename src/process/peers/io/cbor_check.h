#ifndef PROCESS_PEERS_IO_CBOR_CHECK_H_
#define PROCESS_PEERS_IO_CBOR_CHECK_H_

#include <cstddef>
#include <string_view>

namespace mangodoor {

/** Bounds on a CBOR value and the values nested in it. */
struct CborLimits {
  size_t max_depth = 8;
  size_t max_items = 0;
};

/**
 * True if `data` is exactly one complete CBOR value within the limits, without
 * tags and without items of indefinite length. The decoder of nlohmann-json
 * recurses for each level of nesting; this check does not.
 */
bool IsAcceptableCbor(std::string_view data, const CborLimits& limits);

}  // namespace mangodoor

#endif  // PROCESS_PEERS_IO_CBOR_CHECK_H_
