#ifndef PROCESS_PEERS_IO_PEER_FIELDS_H_
#define PROCESS_PEERS_IO_PEER_FIELDS_H_

#include <array>
#include <nlohmann/json.hpp>
#include <string>

#include "process/clock.h"
#include "process/peers/peer_message.h"

namespace mangodoor {

/** Longest id, name or store key in a message between instances, in bytes. */
constexpr size_t kMaxIdBytes = 256;

/** Highest valid version, revision or id of a token request, 2^53. */
constexpr uint64_t kMaxRevision = uint64_t{1} << 53;

/** 10^9 tokens, more than any client account can have. */
constexpr MicroTokens kMaxMicroTokens = 1000000000 * kMicroTokensPerToken;

/**
 * The functions ...At() return a field of a map, with its type checked. They
 * throw PeerMessageError if the field is missing, has another type or is out of
 * bounds.
 */
const nlohmann::json& FieldAt(const nlohmann::json& map, const char* name);
int64_t IntegerAt(const nlohmann::json& map,
                  const char* name,
                  int64_t min,
                  int64_t max);
/** An integer from 0 to kMaxRevision. */
uint64_t RevisionAt(const nlohmann::json& map, const char* name);
/** A revision of the store; its era is in `era_name`, or 0 without that. */
StoreRevision StoreRevisionAt(const nlohmann::json& map,
                              const char* name,
                              const char* era_name);
MicroTokens MicroTokensAt(const nlohmann::json& map, const char* name);
bool FlagAt(const nlohmann::json& map, const char* name);

/** Microseconds, from 0 up to `max`. */
Duration MicrosecondsAt(const nlohmann::json& map,
                        const char* name,
                        Duration max);

/** A reading of an instance's clock, encoded in nanoseconds. */
TimePoint TimePointAt(const nlohmann::json& map, const char* name);

/** A byte string of exactly `size` bytes. */
std::string BytesAt(const nlohmann::json& map, const char* name, size_t size);

/** Text of 0 to `max_bytes` bytes, which need not be valid UTF-8. */
std::string TextAt(const nlohmann::json& map,
                   const char* name,
                   size_t max_bytes);

/**
 * Text that can be shown in logs and status pages: valid UTF-8, not empty, no
 * control characters, at most kMaxIdBytes.
 */
std::string NameAt(const nlohmann::json& map, const char* name);

/** A digest of 64 lower-case hexadecimal digits. */
std::string DigestAt(const nlohmann::json& map, const char* name);

Endpoint EndpointAt(const nlohmann::json& map, const char* name);

/** An array of at most `max_count` elements. */
const nlohmann::json& ArrayAt(const nlohmann::json& map,
                              const char* name,
                              size_t max_count);

// The functions ...In() do the same for an element of an array. TextIn allows
// up to kMaxIdBytes, BytesIn any length.

int64_t IntegerIn(const nlohmann::json& array,
                  size_t index,
                  int64_t min,
                  int64_t max);
bool FlagIn(const nlohmann::json& array, size_t index);
std::string TextIn(const nlohmann::json& array, size_t index);
std::string NameIn(const nlohmann::json& array, size_t index);
std::string BytesIn(const nlohmann::json& array, size_t index);
Endpoint EndpointIn(const nlohmann::json& array, size_t index);

/**
 * The index of the field's text in `choices`, an array of `count` strings. It
 * is the value of an enumerator if `choices` follows the order of the enum.
 */
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

/** The name of an enumerator, by which EnumIndexAt() finds it. */
template <size_t kCount, typename Enum>
const char* NameOf(const std::array<const char*, kCount>& names, Enum value) {
  return names.at(static_cast<size_t>(value));
}

nlohmann::json ToBytes(const std::string& bytes);

}  // namespace mangodoor

#endif  // PROCESS_PEERS_IO_PEER_FIELDS_H_
