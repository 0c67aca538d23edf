#include "version/field_check.h"

#include <sstream>

namespace mangodoor {
namespace {

constexpr char kLetters[] =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ";
constexpr char kDigits[] = "0123456789";

std::string ToText(double value) {
  std::ostringstream text;
  text.precision(10);
  text << value;
  return text.str();
}

}  // namespace

std::string DescribeRange(const Range<int64_t>& range) {
  return "an integer from " + std::to_string(range.lowest) + " to " +
         std::to_string(range.highest);
}

std::string DescribeRange(const Range<double>& range) {
  return "a number from " + ToText(range.lowest) + " to " +
         ToText(range.highest);
}

void CheckRange(const FieldContext& context,
                int64_t value,
                const Range<int64_t>& range) {
  if (value < range.lowest || value > range.highest) {
    context.faults.push_back(
        {context.path, std::to_string(value), DescribeRange(range)});
  }
}

void CheckRange(const FieldContext& context,
                double value,
                const Range<double>& range) {
  if (!(value >= range.lowest && value <= range.highest))
    context.faults.push_back(
        {context.path, ToText(value), DescribeRange(range)});
}

void CheckRange(const FieldContext& context,
                std::chrono::milliseconds value,
                const Range<int64_t>& range_ms) {
  CheckRange(context, static_cast<int64_t>(value.count()), range_ms);
}

void CheckName(const FieldContext& context, const std::string& name) {
  const std::string allowed = std::string(kLetters) + kDigits + "._-";
  if (name.empty() || name.size() > kMaxNameLength ||
      name.find_first_not_of(allowed) != std::string::npos) {
    context.faults.push_back({context.path, Quoted(name),
                              "1 to 64 of the characters a-z, A-Z, 0-9, '.', "
                              "'_' and '-'"});
  }
}

void CheckPathPrefix(const FieldContext& context, const std::string& prefix) {
  const std::string allowed =
      std::string(kLetters) + kDigits + "/-._~%!$&'()*+,;=:@";
  const std::string reserved = kReservedPath;
  if (prefix.empty() || prefix.front() != '/' ||
      prefix.size() > kMaxPathLength ||
      prefix.find_first_not_of(allowed) != std::string::npos) {
    context.faults.push_back({context.path, Quoted(prefix),
                              "a path of 1 to 1024 characters that begins with "
                              "'/', without query or spaces"});
  } else if (prefix.compare(0, reserved.size(), reserved) == 0) {
    context.faults.push_back(
        {context.path, Quoted(prefix),
         "a path outside " + reserved + ", which instances answer themselves"});
  }
}

void CheckHost(const FieldContext& context, const std::string& host) {
  if (host.size() > kMaxHostLength ||
      host.find_first_not_of("abcdefghijklmnopqrstuvwxyz0123456789.-_") !=
          std::string::npos) {
    context.faults.push_back(
        {context.path, Quoted(host),
         "a lower-case host name of at most 253 characters "
         "without port, or nothing"});
  }
}

void CheckDigest(const FieldContext& context, const std::string& digest) {
  if (digest.size() != kDigestLength ||
      digest.find_first_not_of("0123456789abcdef") != std::string::npos) {
    context.faults.push_back({context.path, Redacted(digest),
                              "the SHA-256 of the key as 64 lower-case "
                              "hexadecimal digits, never the key itself"});
  }
}

void CheckEndpoint(const FieldContext& context, const Endpoint& endpoint) {
  if (endpoint.address.empty() || endpoint.port == 0 ||
      endpoint.address == "0.0.0.0" || endpoint.address == "::") {
    context.faults.push_back({context.path, Quoted(ToString(endpoint)),
                              "IP:PORT or [IPV6]:PORT of one host, port 1 to "
                              "65535"});
  }
}

}  // namespace mangodoor
