#include "connection/response_parser.h"

#include <strings.h>
#include <algorithm>
#include <cctype>
#include <cstdint>
#include <limits>
#include <optional>

namespace mangodoor {
namespace {

using State = ParsedResponse::State;

constexpr std::string_view kLineEnd = "\r\n";
constexpr size_t kStatusLineStart = 9;

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool IsVisible(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](char c) {
    const auto byte = static_cast<unsigned char>(c);
    return (byte >= ' ' || byte == '\t') && byte != 0x7f;
  });
}

bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
           std::string_view("!#$%&'*+-.^_`|~").find(c) !=
               std::string_view::npos;
  });
}

std::string_view Trim(std::string_view text) {
  const size_t first = text.find_first_not_of(" \t");
  if (first == std::string_view::npos)
    return {};
  return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

/** Parses digits; no value if there are others or the number is too large. */
std::optional<uint64_t> ParseNumber(std::string_view text, uint64_t base) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  constexpr uint64_t kMax = std::numeric_limits<uint64_t>::max();
  uint64_t number = 0;
  for (const char c : text) {
    const uint64_t digit =
        kDigits.find(static_cast<char>(std::tolower(c & 0xff)));
    if (digit >= base || number > (kMax - digit) / base)
      return std::nullopt;
    number = number * base + digit;
  }
  if (text.empty())
    return std::nullopt;
  return number;
}

/** Takes the next line of `bytes`; no value if it has not arrived. */
std::optional<std::string_view> TakeLine(std::string_view& bytes) {
  const size_t end = bytes.find(kLineEnd);
  if (end == std::string_view::npos)
    return std::nullopt;
  const std::string_view line = bytes.substr(0, end);
  bytes.remove_prefix(end + kLineEnd.size());
  return line;
}

bool ParseStatusLine(std::string_view line, ParsedResponse& response) {
  const std::string_view version = line.substr(0, kStatusLineStart);
  if (version != "HTTP/1.1 " && version != "HTTP/1.0 ")
    return false;
  response.is_http_10 = version == "HTTP/1.0 ";
  const std::string_view rest = line.substr(kStatusLineStart);
  const auto status = ParseNumber(rest.substr(0, 3), 10);
  if (!status || *status < 100 || *status >= 600 || rest.size() < 3 ||
      (rest.size() > 3 && rest[3] != ' ') || !IsVisible(rest))
    return false;
  response.status = static_cast<int>(*status);
  return true;
}

bool ParseField(std::string_view line, ParsedResponse& response) {
  const size_t colon = line.find(':');
  if (colon == std::string_view::npos || !IsToken(line.substr(0, colon)) ||
      !IsVisible(line.substr(colon + 1)))
    return false;
  response.fields.push_back({std::string(line.substr(0, colon)),
                             std::string(Trim(line.substr(colon + 1)))});
  return true;
}

State ParseHead(std::string_view& bytes, ParsedResponse& response) {
  bool first = true;
  for (;;) {
    const auto line = TakeLine(bytes);
    if (!line)
      return State::kIncomplete;
    if (!first && line->empty())
      return State::kComplete;
    if (!(first ? ParseStatusLine(*line, response)
                : ParseField(*line, response)))
      return State::kMalformed;
    first = false;
  }
}

State ParseTrailer(std::string_view& bytes) {
  ParsedResponse unused;
  for (;;) {
    const auto line = TakeLine(bytes);
    if (!line)
      return State::kIncomplete;
    if (line->empty())
      return State::kComplete;
    if (!ParseField(*line, unused))
      return State::kMalformed;
  }
}

State ParseChunks(std::string_view& bytes, std::string& body) {
  for (;;) {
    const auto line = TakeLine(bytes);
    if (!line)
      return State::kIncomplete;
    const auto size = ParseNumber(Trim(line->substr(0, line->find(';'))), 16);
    if (!size || !IsVisible(*line))
      return State::kMalformed;
    if (*size == 0)
      return ParseTrailer(bytes);
    body += bytes.substr(0, *size);
    if (bytes.size() < *size || bytes.size() - *size < kLineEnd.size())
      return State::kIncomplete;
    if (bytes.substr(*size, kLineEnd.size()) != kLineEnd)
      return State::kMalformed;
    bytes.remove_prefix(*size + kLineEnd.size());
  }
}

State ParseLength(std::string_view& bytes, uint64_t length, std::string& body) {
  body = bytes.substr(0, length);
  if (bytes.size() < length)
    return State::kIncomplete;
  bytes.remove_prefix(length);
  return State::kComplete;
}

State ParseBody(std::string_view& bytes,
                bool is_head,
                StreamEnd end,
                ParsedResponse& response) {
  const auto encodings = ValuesOf(response, "Transfer-Encoding");
  const auto lengths = ValuesOf(response, "Content-Length");
  std::optional<uint64_t> length;
  for (const std::string& value : lengths) {
    length = ParseNumber(value, 10);
    if (!length || value != lengths.front())
      return State::kMalformed;
  }
  if (encodings.size() > 1 || (!encodings.empty() && !lengths.empty()))
    return State::kMalformed;
  if (!encodings.empty() &&
      (response.is_http_10 || !EqualsIgnoringCase(encodings[0], "chunked")))
    return State::kMalformed;
  response.has_framing = true;
  if (is_head || response.status < 200 || response.status == 204 ||
      response.status == 304)
    return State::kComplete;
  response.is_chunked = !encodings.empty();
  if (response.is_chunked)
    return ParseChunks(bytes, response.body);
  if (length)
    return ParseLength(bytes, *length, response.body);
  response.body = bytes;
  bytes = {};
  return end == StreamEnd::kClosed ? State::kComplete : State::kIncomplete;
}

}  // namespace

ParsedResponse ParseResponse(std::string_view bytes,
                             bool is_head,
                             StreamEnd end) {
  ParsedResponse response;
  std::string_view rest = bytes;
  response.state = ParseHead(rest, response);
  if (response.state != State::kComplete)
    return response;
  response.has_head = true;
  response.state = ParseBody(rest, is_head, end, response);
  response.size = bytes.size() - rest.size();
  return response;
}

std::vector<std::string> ValuesOf(const ParsedResponse& response,
                                  std::string_view name) {
  std::vector<std::string> values;
  for (const ResponseField& field : response.fields) {
    if (EqualsIgnoringCase(field.name, name))
      values.push_back(field.value);
  }
  return values;
}

}  // namespace mangodoor
