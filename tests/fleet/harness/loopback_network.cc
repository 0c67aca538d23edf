#include "fleet/harness/loopback_network.h"

#include <fcntl.h>
#include <unistd.h>

#include <stdexcept>

namespace mangodoor {
namespace {

using boost::asio::ip::tcp;

constexpr int kFirstNetwork = 20;
constexpr int kNetworks = 200;

// The last host of a network, which no group uses.
constexpr char kClaimHost[] = "255.254";
constexpr uint16_t kClaimPort = 7999;

/** True if the socket now holds the address. */
bool Claim(tcp::acceptor& claim, const std::string& address) {
  const tcp::endpoint endpoint(boost::asio::ip::make_address(address),
                               kClaimPort);
  boost::system::error_code error;
  claim.open(endpoint.protocol(), error);
  // Programs that the test starts must not go on holding it.
  fcntl(claim.native_handle(), F_SETFD, FD_CLOEXEC);
  claim.bind(endpoint, error);
  if (!error)
    claim.listen(1, error);
  if (!error)
    return true;
  claim.close(error);
  return false;
}

}  // namespace

LoopbackNetwork::LoopbackNetwork() {
  // Processes begin at different ones, since most find theirs free.
  for (int i = 0; i < kNetworks; ++i) {
    const int network = kFirstNetwork + (getpid() + i) % kNetworks;
    prefix_ = "127." + std::to_string(network) + ".";
    if (Claim(claim_, prefix_ + kClaimHost))
      return;
  }
  throw std::runtime_error("all networks of tests are taken");
}

std::string LoopbackNetwork::Host(int group, int index) const {
  return prefix_ + std::to_string(group) + "." + std::to_string(index + 1);
}

}  // namespace mangodoor
