#ifndef PROCESS_PEERS_IO_PEER_FIELDS_H_
#define PROCESS_PEERS_IO_PEER_FIELDS_H_

#include <array>
#include <nlohmann/json.hpp>
#include <string>

#include "process/clock.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/** Longest id in a message between instances, in bytes. */
constexpr size_t kMaxIdBytes = 256;

/** Versions and revisions above this, 2^53, are no counts of anything. */
constexpr uint64_t kMaxRevision = uint64_t{1} << 53;

/** 10^9 tokens; no client account has more. */
constexpr MicroTokens kMaxMicroTokens = 1000000000 * kMicroTokensPerToken;

/**
 * Typed access to the fields of a message. All throw PeerMessageError when the
 * field is missing, of another type, or outside its bounds.
 */
const nlohmann::json& FieldAt(const nlohmann::json& map, const char* name);
int64_t IntegerAt(const nlohmann::json& map,
                  const char* name,
                  int64_t min,
                  int64_t max);
uint64_t RevisionAt(const nlohmann::json& map, const char* name);
MicroTokens MicroTokensAt(const nlohmann::json& map, const char* name);
bool FlagAt(const nlohmann::json& map, const char* name);

/** Microseconds, from 0 up to `max`. */
Duration MicrosecondsAt(const nlohmann::json& map,
                        const char* name,
                        Duration max);

/** A point on some instance's clock, in nanoseconds. */
TimePoint TimePointAt(const nlohmann::json& map, const char* name);

/** A byte string of just `size` bytes. */
std::string BytesAt(const nlohmann::json& map, const char* name, size_t size);

/** Text that may be empty, at most `max_bytes` long; any bytes. */
std::string TextAt(const nlohmann::json& map,
                   const char* name,
                   size_t max_bytes);

/** Text for logs and status pages: UTF-8, not empty, no control characters. */
std::string NameAt(const nlohmann::json& map, const char* name);

/** 64 lower-case hexadecimal digits. */
std::string DigestAt(const nlohmann::json& map, const char* name);

Endpoint EndpointAt(const nlohmann::json& map, const char* name);

/** An array of at most `max_count` entries. */
const nlohmann::json& ArrayAt(const nlohmann::json& map,
                              const char* name,
                              size_t max_count);

// The same for the entries of an array, by index.

int64_t IntegerIn(const nlohmann::json& array,
                  size_t index,
                  int64_t min,
                  int64_t max);
bool FlagIn(const nlohmann::json& array, size_t index);
std::string TextIn(const nlohmann::json& array, size_t index);
std::string NameIn(const nlohmann::json& array, size_t index);
std::string BytesIn(const nlohmann::json& array, size_t index);
Endpoint EndpointIn(const nlohmann::json& array, size_t index);

/** The index of the field's text in the `count` words from `words` on. */
size_t EnumIndexAt(const nlohmann::json& map,
                   const char* name,
                   const char* const* choices,
                   size_t count);

template <size_t kCount>
size_t EnumIndexAt(const nlohmann::json& map,
                   const char* name,
                   const std::array<const char*, kCount>& choices) {
  return EnumIndexAt(map, name, choices.data(), kCount);
}

int64_t ToMicroseconds(Duration duration);

}  // namespace mangodoor

#endif  // PROCESS_PEERS_IO_PEER_FIELDS_H_
