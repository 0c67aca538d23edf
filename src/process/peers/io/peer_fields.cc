#include "process/peers/io/peer_fields.h"

#include <algorithm>

#include "process/peers/io/peer_codec.h"

namespace mangodoor {
namespace {

using Json = nlohmann::json;
using std::chrono::microseconds;
using std::chrono::nanoseconds;

constexpr size_t kDigestDigits = 64;

[[noreturn]] void ThrowFieldError(const char* name, const char* expected) {
  throw PeerMessageError("field \"" + std::string(name) + "\": expected " +
                         expected);
}

bool IsControl(char c) {
  return (c >= 0 && c < ' ') || c == '\x7f';
}

// The library writes JSON from valid UTF-8 only, so it knows what that is.
bool IsUtf8(const std::string& text) {
  try {
    Json(text).dump();
    return true;
  } catch (const Json::type_error&) {
    return false;
  }
}

bool IsDigestDigit(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f');
}

// Names an entry of an array in errors.
constexpr char kArrayEntry[] = "(entry of an array)";

const Json& EntryIn(const Json& array, size_t index) {
  if (!array.is_array() || index >= array.size())
    ThrowFieldError(kArrayEntry, "a value");
  return array[index];
}

int64_t IntegerOf(const Json& value,
                  const char* name,
                  int64_t min,
                  int64_t max) {
  if (!value.is_number_integer())
    ThrowFieldError(name, "an integer");
  // Read as int64_t, an unsigned value over its maximum would be negative.
  if (value.is_number_unsigned() &&
      value.get<uint64_t>() > static_cast<uint64_t>(INT64_MAX))
    ThrowFieldError(name, "a smaller integer");
  const auto integer = value.get<int64_t>();
  if (integer < min || integer > max)
    ThrowFieldError(name, "an integer within its bounds");
  return integer;
}

bool FlagOf(const Json& value, const char* name) {
  if (!value.is_boolean())
    ThrowFieldError(name, "true or false");
  return value.get<bool>();
}

std::string TextOf(const Json& value, const char* name, size_t max_bytes) {
  if (!value.is_string() ||
      value.get_ref<const std::string&>().size() > max_bytes)
    ThrowFieldError(name, "text that is not too long");
  return value.get<std::string>();
}

std::string NameOf(const Json& value, const char* name) {
  std::string text = TextOf(value, name, kMaxIdBytes);
  if (text.empty() || std::any_of(text.begin(), text.end(), IsControl) ||
      !IsUtf8(text))
    ThrowFieldError(name, "a name in UTF-8");
  return text;
}

Endpoint EndpointOf(const Json& value, const char* name) {
  try {
    return ParseEndpoint(TextOf(value, name, kMaxIdBytes));
  } catch (const std::invalid_argument&) {
    ThrowFieldError(name, "an endpoint");
  }
}

}  // namespace

const Json& FieldAt(const Json& map, const char* name) {
  if (!map.is_object())
    ThrowFieldError(name, "a map around it");
  const auto found = map.find(name);
  if (found == map.end())
    ThrowFieldError(name, "a value");
  return *found;
}

int64_t IntegerAt(const Json& map, const char* name, int64_t min, int64_t max) {
  return IntegerOf(FieldAt(map, name), name, min, max);
}

uint64_t RevisionAt(const Json& map, const char* name) {
  return static_cast<uint64_t>(
      IntegerAt(map, name, 0, static_cast<int64_t>(kMaxRevision)));
}

MicroTokens MicroTokensAt(const Json& map, const char* name) {
  return IntegerAt(map, name, 0, kMaxMicroTokens);
}

bool FlagAt(const Json& map, const char* name) {
  return FlagOf(FieldAt(map, name), name);
}

Duration MicrosecondsAt(const Json& map, const char* name, Duration max) {
  return microseconds(IntegerAt(map, name, 0, ToMicroseconds(max)));
}

TimePoint TimePointAt(const Json& map, const char* name) {
  return TimePoint(nanoseconds(IntegerAt(map, name, 0, INT64_MAX)));
}

std::string BytesAt(const Json& map, const char* name, size_t size) {
  const Json& value = FieldAt(map, name);
  if (!value.is_binary() || value.get_binary().size() != size)
    ThrowFieldError(name, "bytes of a fixed number");
  return {value.get_binary().begin(), value.get_binary().end()};
}

std::string TextAt(const Json& map, const char* name, size_t max_bytes) {
  return TextOf(FieldAt(map, name), name, max_bytes);
}

std::string NameAt(const Json& map, const char* name) {
  return NameOf(FieldAt(map, name), name);
}

std::string DigestAt(const Json& map, const char* name) {
  std::string digest = TextAt(map, name, kDigestDigits);
  if (digest.size() != kDigestDigits ||
      !std::all_of(digest.begin(), digest.end(), IsDigestDigit))
    ThrowFieldError(name, "64 hexadecimal digits");
  return digest;
}

Endpoint EndpointAt(const Json& map, const char* name) {
  return EndpointOf(FieldAt(map, name), name);
}

const Json& ArrayAt(const Json& map, const char* name, size_t max_count) {
  const Json& value = FieldAt(map, name);
  if (!value.is_array() || value.size() > max_count)
    ThrowFieldError(name, "an array that is not too long");
  return value;
}

int64_t IntegerIn(const Json& array, size_t index, int64_t min, int64_t max) {
  return IntegerOf(EntryIn(array, index), kArrayEntry, min, max);
}

bool FlagIn(const Json& array, size_t index) {
  return FlagOf(EntryIn(array, index), kArrayEntry);
}

std::string TextIn(const Json& array, size_t index) {
  return TextOf(EntryIn(array, index), kArrayEntry, kMaxIdBytes);
}

std::string NameIn(const Json& array, size_t index) {
  return NameOf(EntryIn(array, index), kArrayEntry);
}

std::string BytesIn(const Json& array, size_t index) {
  const Json& value = EntryIn(array, index);
  if (!value.is_binary())
    ThrowFieldError(kArrayEntry, "bytes");
  return {value.get_binary().begin(), value.get_binary().end()};
}

Endpoint EndpointIn(const Json& array, size_t index) {
  return EndpointOf(EntryIn(array, index), kArrayEntry);
}

size_t EnumIndexAt(const Json& map,
                   const char* name,
                   const char* const* choices,
                   size_t count) {
  const std::string text = TextAt(map, name, kMaxIdBytes);
  const char* const* const found = std::find(choices, choices + count, text);
  if (found == choices + count)
    ThrowFieldError(name, "one of the known words");
  return static_cast<size_t>(found - choices);
}

int64_t ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

}  // namespace mangodoor
