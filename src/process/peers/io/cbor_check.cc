#include "process/peers/io/cbor_check.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace mangodoor {
namespace {

// Major types of RFC 8949, section 3.1.
enum class MajorType {
  kUnsigned = 0,
  kNegative = 1,
  kBytes = 2,
  kText = 3,
  kArray = 4,
  kMap = 5,
  kTag = 6,
  kSimple = 7,
};

struct Head {
  MajorType type = MajorType::kUnsigned;
  uint64_t argument = 0;
};

// Additional information up to kMaxDirectArgument is the argument itself; the
// four values after it, up to kMaxArgumentInformation, mean that the argument
// follows in 1, 2, 4 or 8 bytes.
constexpr unsigned kMaxDirectArgument = 23;
constexpr unsigned kMaxArgumentInformation = 27;
constexpr unsigned kInformationMask = 0x1f;
constexpr unsigned kTypeShift = 5;
constexpr unsigned kByteBits = 8;

unsigned ReadByte(std::string_view& data) {
  const auto byte = static_cast<unsigned char>(data.front());
  data.remove_prefix(1);
  return byte;
}

std::optional<Head> ReadHead(std::string_view& data) {
  if (data.empty())
    return std::nullopt;
  const unsigned first = ReadByte(data);
  const unsigned information = first & kInformationMask;
  Head head{static_cast<MajorType>(first >> kTypeShift), information};
  if (information <= kMaxDirectArgument)
    return head;
  if (information > kMaxArgumentInformation)
    return std::nullopt;
  const size_t bytes = size_t{1} << (information - kMaxDirectArgument - 1);
  if (data.size() < bytes)
    return std::nullopt;
  head.argument = 0;
  for (size_t i = 0; i < bytes; ++i)
    head.argument = head.argument << kByteBits | ReadByte(data);
  return head;
}

// Number of items nested in the item with this head; empty if it is over the
// limit.
std::optional<uint64_t> ContainedItems(const Head& head, size_t max_items) {
  if (head.type != MajorType::kArray && head.type != MajorType::kMap)
    return 0;
  if (head.argument > max_items)
    return std::nullopt;
  return head.type == MajorType::kMap ? head.argument * 2 : head.argument;
}

bool SkipString(std::string_view& data, const Head& head) {
  if (head.type != MajorType::kBytes && head.type != MajorType::kText)
    return true;
  if (head.argument > data.size())
    return false;
  data.remove_prefix(head.argument);
  return true;
}

}  // namespace

bool IsAcceptableCbor(std::string_view data, const CborLimits& limits) {
  // Items not yet read at each level of nesting.
  std::vector<uint64_t> remaining{1};
  size_t items = 0;
  while (!remaining.empty()) {
    if (remaining.back() == 0) {
      remaining.pop_back();
      continue;
    }
    --remaining.back();
    const std::optional<Head> head = ReadHead(data);
    if (!head || head->type == MajorType::kTag || !SkipString(data, *head) ||
        ++items > limits.max_items)
      return false;
    const auto contained = ContainedItems(*head, limits.max_items);
    if (!contained || remaining.size() > limits.max_depth)
      return false;
    if (*contained > 0)
      remaining.push_back(*contained);
  }
  return data.empty();
}

}  // namespace mangodoor
