#ifndef VERSION_ENDPOINT_H_
#define VERSION_ENDPOINT_H_

#include <cstdint>
#include <string>

namespace mangodoor {

/** An IP address (IPv4, or IPv6 without brackets) and a port. */
struct Endpoint {
  std::string address;
  uint16_t port = 0;
};

inline bool operator==(const Endpoint& a, const Endpoint& b) {
  return a.address == b.address && a.port == b.port;
}
inline bool operator!=(const Endpoint& a, const Endpoint& b) {
  return !(a == b);
}
inline bool operator<(const Endpoint& a, const Endpoint& b) {
  return a.address != b.address ? a.address < b.address : a.port < b.port;
}

/** "ip:port", or "[ip]:port" for IPv6. */
std::string ToString(const Endpoint& endpoint);

/**
 * Parses the format of ToString, with a port from 1 to 65535. Throws
 * std::invalid_argument for other text, such as a host name.
 */
Endpoint ParseEndpoint(const std::string& text);

}  // namespace mangodoor

#endif  // VERSION_ENDPOINT_H_
