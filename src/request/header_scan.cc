#include "request/header_scan.h"

#include <algorithm>
#include <array>

namespace mangodoor {
namespace {

constexpr size_t kByteValues = 256;
constexpr size_t kDelete = 0x7f;

struct CharacterClasses {
  std::array<bool, kByteValues> token{};
  std::array<bool, kByteValues> control{};
};

constexpr CharacterClasses MakeClasses() {
  CharacterClasses classes;
  for (const char c : std::string_view("!#$%&'*+-.^_`|~0123456789"
                                       "abcdefghijklmnopqrstuvwxyz"
                                       "ABCDEFGHIJKLMNOPQRSTUVWXYZ"))
    classes.token[static_cast<unsigned char>(c)] = true;
  for (size_t c = 0; c < kByteValues; ++c)
    classes.control[c] = (c < ' ' && c != '\t') || c == kDelete;
  return classes;
}

constexpr CharacterClasses kClasses = MakeClasses();

bool IsTokenCharacter(char c) {
  return kClasses.token[static_cast<unsigned char>(c)];
}

bool IsControl(char c) {
  return kClasses.control[static_cast<unsigned char>(c)];
}

bool IsFieldLine(std::string_view line) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0)
    return false;
  return std::all_of(line.begin(), line.begin() + static_cast<ptrdiff_t>(colon),
                     IsTokenCharacter) &&
         std::none_of(line.begin() + static_cast<ptrdiff_t>(colon), line.end(),
                      IsControl);
}

bool IsStartLine(std::string_view line) {
  return !line.empty() && std::none_of(line.begin(), line.end(), [](char c) {
    return IsControl(c) || c == '\t';
  });
}

}  // namespace

void ScanHeader(HeaderScan& scan, std::string_view bytes, size_t max_size) {
  scan.state = HeaderScan::State::kIncomplete;
  for (;;) {
    const size_t end = bytes.find('\n', scan.searched);
    if (end == std::string_view::npos)
      break;
    if (end >= max_size) {
      scan.state = HeaderScan::State::kTooLarge;
      return;
    }
    const bool has_cr = end > scan.line_start && bytes[end - 1] == '\r';
    std::string_view line =
        bytes.substr(scan.line_start, end - scan.line_start);
    if (has_cr)
      line.remove_suffix(1);
    const bool first = scan.line_start == 0;
    if (has_cr && line.empty() && !first) {
      scan.state = HeaderScan::State::kComplete;
      scan.size = end + 1;
      return;
    }
    if (!has_cr || !(first ? IsStartLine(line) : IsFieldLine(line))) {
      scan.state = HeaderScan::State::kMalformed;
      return;
    }
    scan.line_start = end + 1;
    scan.searched = scan.line_start;
  }
  scan.searched = bytes.size();
  if (bytes.size() >= max_size)
    scan.state = HeaderScan::State::kTooLarge;
}

}  // namespace mangodoor
