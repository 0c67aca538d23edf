#include "version/endpoint.h"

#include <arpa/inet.h>

#include <stdexcept>

#include "version/fault.h"

namespace mangodoor {
namespace {

constexpr int kMaxPort = 65535;
constexpr size_t kMaxPortDigits = 5;

[[noreturn]] void ThrowInvalid(const std::string& text) {
  throw std::invalid_argument(Quoted(text) +
                              " is not an endpoint; expected IP:PORT with a "
                              "port from 1 to 65535");
}

uint16_t ParsePort(const std::string& digits, const std::string& text) {
  if (digits.empty() || digits.size() > kMaxPortDigits ||
      digits.find_first_not_of("0123456789") != std::string::npos)
    ThrowInvalid(text);
  const int port = std::stoi(digits);
  if (port < 1 || port > kMaxPort)
    ThrowInvalid(text);
  return static_cast<uint16_t>(port);
}

bool HasOnly(const std::string& text, const char* allowed) {
  return text.find_first_not_of(allowed) == std::string::npos;
}

// inet_pton ends at a zero byte, so the characters are checked first.
bool IsIpv4(const std::string& address) {
  in_addr ignored{};
  return HasOnly(address, "0123456789.") &&
         inet_pton(AF_INET, address.c_str(), &ignored) == 1;
}

bool IsIpv6(const std::string& address) {
  in6_addr ignored{};
  return HasOnly(address, "0123456789abcdefABCDEF:.") &&
         inet_pton(AF_INET6, address.c_str(), &ignored) == 1;
}

}  // namespace

std::string ToString(const Endpoint& endpoint) {
  const std::string port = std::to_string(endpoint.port);
  if (endpoint.address.find(':') != std::string::npos)
    return "[" + endpoint.address + "]:" + port;
  return endpoint.address + ":" + port;
}

Endpoint ParseEndpoint(const std::string& text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string::npos || colon == 0)
    ThrowInvalid(text);
  Endpoint endpoint;
  endpoint.port = ParsePort(text.substr(colon + 1), text);
  endpoint.address = text.substr(0, colon);
  if (endpoint.address.front() != '[') {
    if (!IsIpv4(endpoint.address))
      ThrowInvalid(text);
    return endpoint;
  }
  if (endpoint.address.back() != ']')
    ThrowInvalid(text);
  endpoint.address = endpoint.address.substr(1, endpoint.address.size() - 2);
  if (!IsIpv6(endpoint.address))
    ThrowInvalid(text);
  return endpoint;
}

}  // namespace mangodoor
