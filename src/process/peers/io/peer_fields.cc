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

// nlohmann-json does not check UTF-8 when it decodes CBOR, but dump() throws if
// a text is not valid.
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

// Stands for the field name in errors about an element of an array.
constexpr char kArrayElement[] = "(element of an array)";

const Json& ElementIn(const Json& array, size_t index) {
  if (!array.is_array() || index >= array.size())
    ThrowFieldError(kArrayElement, "a value");
  return array[index];
}

int64_t IntegerOf(const Json& value,
                  const char* name,
                  int64_t min,
                  int64_t max) {
  if (!value.is_number_integer())
    ThrowFieldError(name, "an integer");
  // An unsigned value over INT64_MAX would be negative as an int64_t.
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
    ThrowFieldError(name, "text within the length limit");
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
    ThrowFieldError(name, "a map that contains it");
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

StoreRevision StoreRevisionAt(const Json& map,
                              const char* name,
                              const char* era_name) {
  const uint64_t era = map.contains(era_name) ? RevisionAt(map, era_name) : 0;
  return {era, RevisionAt(map, name)};
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
    ThrowFieldError(name, "a byte string of the fixed length");
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
    ThrowFieldError(name, "an array within the length limit");
  return value;
}

int64_t IntegerIn(const Json& array, size_t index, int64_t min, int64_t max) {
  return IntegerOf(ElementIn(array, index), kArrayElement, min, max);
}

bool FlagIn(const Json& array, size_t index) {
  return FlagOf(ElementIn(array, index), kArrayElement);
}

std::string TextIn(const Json& array, size_t index) {
  return TextOf(ElementIn(array, index), kArrayElement, kMaxIdBytes);
}

std::string NameIn(const Json& array, size_t index) {
  return NameOf(ElementIn(array, index), kArrayElement);
}

std::string BytesIn(const Json& array, size_t index) {
  const Json& value = ElementIn(array, index);
  if (!value.is_binary())
    ThrowFieldError(kArrayElement, "bytes");
  return {value.get_binary().begin(), value.get_binary().end()};
}

Endpoint EndpointIn(const Json& array, size_t index) {
  return EndpointOf(ElementIn(array, index), kArrayElement);
}

size_t EnumIndexAt(const Json& map,
                   const char* name,
                   const char* const* choices,
                   size_t count) {
  const std::string text = TextAt(map, name, kMaxIdBytes);
  const char* const* const found = std::find(choices, choices + count, text);
  if (found == choices + count)
    ThrowFieldError(name, "one of the known values");
  return static_cast<size_t>(found - choices);
}

int64_t ToMicroseconds(Duration duration) {
  return std::chrono::duration_cast<microseconds>(duration).count();
}

Json ToBytes(const std::string& bytes) {
  return Json::binary({bytes.begin(), bytes.end()});
}

}  // namespace mangodoor
