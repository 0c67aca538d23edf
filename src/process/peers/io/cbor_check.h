#ifndef PROCESS_PEERS_IO_CBOR_CHECK_H_
#define PROCESS_PEERS_IO_CBOR_CHECK_H_

#include <cstddef>
#include <string_view>

namespace mangodoor {

/** Bounds on one CBOR value and what is in it. */
struct CborLimits {
  size_t max_depth = 8;
  size_t max_items = 0;
};

/**
 * True if `data` is one complete CBOR value within the limits, without tags and
 * without strings of indefinite length. The decoder of nlohmann-json calls
 * itself for each level of nesting; this check does not.
 */
bool IsAcceptableCbor(std::string_view data, const CborLimits& limits);

}  // namespace mangodoor

#endif  // PROCESS_PEERS_IO_CBOR_CHECK_H_
